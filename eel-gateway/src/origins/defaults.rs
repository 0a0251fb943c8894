//! Follows and keeps the default versions of services.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use eel_origin::{DefaultChange, OriginKey, StoredDefault};
use eel_store::{Compare, KeyValue as _, KeyValuePair, Op, StoreResult, Txn};
use eel_types::{Name, Revision};
use tokio::time::sleep;

use super::retention_ms;
use crate::context::Context;

/// The interval of checks whether a default version has to change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Applies a written key. Returns `false` if it is not one of origins.
pub(crate) fn on_put(context: &Context, pair: &KeyValuePair) -> bool {
    match context.origins.keys.parse(&pair.key) {
        Some(OriginKey::Default) => apply_default(context, pair),
        // Records are read when a caller resumes a stream.
        Some(OriginKey::Streams) => {}
        None => return false,
    }
    true
}

pub(super) fn apply_default(context: &Context, pair: &KeyValuePair) {
    let Some(stored) = StoredDefault::decode(&pair.value) else {
        log::warn!(target: "origins", key = pair.key.as_str(); "Cannot decode the default version of a service.");
        return;
    };
    let revision = pair.mod_revision.0;
    let mut defaults = context.origins.defaults();
    let is_new = defaults.version(&stored.service) != Some(&stored.version);
    defaults.on_stored(&stored.service, &stored.version, revision);
    if is_new {
        log::info!(
            target: "origins", service = stored.service.as_str(), version = stored.version.as_str(), revision;
            "Streams without a record count as begun at this version."
        );
    }
}

/// Keeps the default versions of all services that have targets; does not return.
pub(crate) async fn keep_defaults(context: &Context) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if !context.is_store_fresh() {
            context.origins.defaults().on_gap();
            continue;
        }
        for (service, listed) in listed_versions(context) {
            let (now_ms, gone_ms) = (context.clock.now_ms(), retention_ms(context));
            let next = context
                .origins
                .defaults()
                .next_change(now_ms, gone_ms, &service, &listed);
            let key = context.origins.keys.default_version(&service);
            if let Some(change) = next.filter(|_| context.is_owner_of(&key))
                && let Err(error) = commit(context, &key, &change).await
            {
                let error = error.current_context();
                context.on_store_failure("store the default version of a service", error);
            }
        }
    }
}

/// Returns the versions of each service's targets, with the number of targets that are not about to leave.
fn listed_versions(context: &Context) -> HashMap<Name, BTreeMap<Name, u32>> {
    let mut services: HashMap<Name, BTreeMap<Name, u32>> = HashMap::new();
    for entry in context.registry().entries() {
        let versions = services.entry(entry.service.clone()).or_default();
        let count = versions.entry(entry.version_text().into()).or_default();
        *count += u32::from(!entry.is_draining);
    }
    services
}

/// Writes a default version unless another node has changed it. The watch delivers what is stored.
async fn commit(context: &Context, key: &str, change: &DefaultChange) -> StoreResult<()> {
    let stored = StoredDefault {
        service: change.service.clone(),
        version: change.version.clone(),
    };
    let Some(value) = stored.encode() else {
        log::error!(target: "origins", service = change.service.as_str(); "Cannot encode the default version of a service.");
        return Ok(());
    };
    let compare = match change.replaced_revision {
        None => Compare::Absent {
            key: key.to_owned(),
        },
        Some(revision) => Compare::ModRevision {
            key: key.to_owned(),
            revision: Revision(revision),
        },
    };
    let txn = Txn {
        compares: vec![compare],
        success: vec![Op::put(key.to_owned(), value)],
        ..Txn::default()
    };
    context.store.commit(&txn).await?;
    Ok(())
}
