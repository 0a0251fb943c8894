//! Fetches the configuration from target nodes, for an entry node that starts during an outage of the store.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eel_config::SnapshotSource;
use eel_record::Snapshot;
use eel_types::Name;
use eel_wire::{
    codec,
    message::{Configuration, StreamRequest},
};
use error_stack::{Report, ResultExt as _};
use futures_util::{StreamExt as _, stream};

use crate::link::{Link, Session};

/// The maximum number of target nodes asked at once; the newest snapshot among their replies is used.
const MAX_PEERS_ASKED: usize = 8;
/// The timeout for the reply of one target node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The links of this node by the VMs of their target nodes.
#[derive(Default)]
pub(crate) struct Peers(Mutex<HashMap<Name, Arc<Link>>>);

impl Peers {
    pub(crate) fn insert(&self, link: Arc<Link>) {
        self.lock().insert(link.vm.clone(), link);
    }

    pub(crate) fn remove(&self, vm: &Name) {
        self.lock().remove(vm);
    }

    fn sessions(&self) -> Vec<Arc<Session>> {
        let links = self.lock();
        let open = links.values().filter_map(|link| link.session());
        open.take(MAX_PEERS_ASKED).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Arc<Link>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SnapshotSource for Peers {
    async fn fetch(&self) -> Option<Snapshot> {
        let requests = stream::iter(self.sessions()).map(fetch_with_timeout);
        let replies = requests
            .buffer_unordered(MAX_PEERS_ASKED)
            .collect::<Vec<_>>();
        let replies = replies.await;
        replies
            .into_iter()
            .flatten()
            .max_by_key(|snapshot| snapshot.revision)
    }
}

async fn fetch_with_timeout(session: Arc<Session>) -> Option<Snapshot> {
    let reply = tokio::time::timeout(REPLY_TIMEOUT, fetch_configuration(&session)).await;
    match reply.ok()? {
        Ok(configuration) => serde_json::from_slice(&configuration?.snapshot_json).ok(),
        Err(error) => {
            log::debug!(target: "config", "Cannot fetch the configuration from a peer: {error}.");
            None
        }
    }
}

async fn fetch_configuration(
    session: &Session,
) -> Result<Option<Configuration>, Report<eel_wire::Error>> {
    let (mut send, mut recv) = session
        .connection
        .open_bi()
        .await
        .change_context(eel_wire::Error::Closed)?;
    codec::write(&mut send, &StreamRequest::FetchConfiguration).await?;
    let _ = send.finish();
    codec::read(&mut recv).await
}
