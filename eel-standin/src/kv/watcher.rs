//! Open watches and the messages sent on them.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;

use super::{
    message::{Event, Header, Int64, Streamed, WatchResponse},
    mvcc::KeyRange,
    shared::Shared,
};

#[derive(Debug)]
struct Watcher {
    range: KeyRange,
    lines: mpsc::UnboundedSender<Bytes>,
    silent: bool,
}

/// All open watches.
#[derive(Debug, Default)]
pub struct Watchers {
    open: BTreeMap<u64, Watcher>,
    last_id: u64,
}

impl Watchers {
    pub fn open(
        &mut self,
        range: KeyRange,
        lines: mpsc::UnboundedSender<Bytes>,
        silent: bool,
    ) -> u64 {
        self.last_id += 1;
        let watcher = Watcher {
            range,
            lines,
            silent,
        };
        self.open.insert(self.last_id, watcher);
        self.last_id
    }

    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }

    pub fn close_all(&mut self) {
        self.open.clear();
    }

    pub fn silence(&mut self) {
        self.open.values_mut().for_each(|w| w.silent = true);
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Sends the changes of one revision to the watches whose range they fall into; returns the number of bytes sent.
    pub fn publish(&self, events: &[Event], revision: u64) -> u64 {
        let mut sent = 0;
        for watcher in self.open.values().filter(|w| !w.silent) {
            let events: Vec<_> = events
                .iter()
                .filter(|e| watcher.range.contains(&e.kv.key.0))
                .cloned()
                .collect();
            if events.is_empty() {
                continue;
            }
            let line = encode_line(revision, WatchMessage::Events(events));
            sent += u64::try_from(line.len()).unwrap_or(0);
            let _ = watcher.lines.send(line);
        }
        sent
    }

    /// Sends a progress notification: the watch has got all changes up to `revision`.
    pub fn progress(&self, revision: u64) {
        for watcher in self.open.values().filter(|w| !w.silent) {
            let _ = watcher
                .lines
                .send(encode_line(revision, WatchMessage::Events(Vec::new())));
        }
    }
}

/// The content of one message on a watch.
pub enum WatchMessage {
    Created,
    Canceled,
    Events(Vec<Event>),
    Compacted(u64),
}

/// Encodes a message as one line of JSON.
pub fn encode_line(revision: u64, message: WatchMessage) -> Bytes {
    let mut response = WatchResponse {
        header: Header {
            revision: revision.into(),
        },
        created: false,
        canceled: false,
        compact_revision: None,
        events: Vec::new(),
    };
    match message {
        WatchMessage::Created => response.created = true,
        WatchMessage::Canceled => response.canceled = true,
        WatchMessage::Events(events) => response.events = events,
        WatchMessage::Compacted(compacted) => {
            response.canceled = true;
            response.compact_revision = Some(Int64::from(compacted));
        }
    }
    let mut line = serde_json::to_vec(&Streamed { result: response }).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}

/// The response body of a watch. Dropping it, as on the end of the connection, closes the watch.
pub struct WatchBody {
    pub id: u64,
    pub lines: mpsc::UnboundedReceiver<Bytes>,
    pub shared: Weak<Shared>,
}

impl Stream for WatchBody {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.lines.poll_recv(cx).map(|line| line.map(Ok))
    }
}

impl Drop for WatchBody {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.close_watch(self.id);
        }
    }
}

impl WatchBody {
    pub fn new(id: u64, lines: mpsc::UnboundedReceiver<Bytes>, shared: &Arc<Shared>) -> Self {
        Self {
            id,
            lines,
            shared: Arc::downgrade(shared),
        }
    }
}
