//! The streams that this node has begun at other versions than the default one, on their way to the store.
//!
//! Streams of about a second share one key, which is written again as streams are added. A write without a response may
//! be applied seconds later, over a newer value; its key is therefore never written again.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::{Found, Origin, OriginRecord, StreamId};

/// How long streams are added to one key.
const RECORD_SPAN_MS: u64 = 1_000;
/// The maximum number of keys removed in one transaction, which may have 32 entries.
const MAX_REMOVALS: usize = 30;
/// The minimum number of keys for a transaction that only removes keys.
const MIN_REMOVALS_ALONE: usize = 10;

/// The origins that this node has to record.
#[derive(Debug, Default)]
pub struct Journal {
    /// The streams of the current key, of which the first `written` are in the store.
    open: Vec<(StreamId, Origin)>,
    written: usize,
    opened_ms: u64,
    sequence: u64,
    /// The earlier keys that may be in the store, with the time until which streams were added to them.
    closed: VecDeque<(u64, u64)>,
    /// The streams that are kept, in order of time.
    recent: VecDeque<(u64, StreamId)>,
    origins: HashMap<StreamId, Origin>,
    /// The number of streams added so far, and of those in the store.
    added: u64,
    stored: u64,
}

/// A transaction that the node has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalWrite {
    /// The record and the sequence number of its key; `None` if keys are removed only.
    pub record: Option<(u64, OriginRecord)>,
    /// The sequence numbers of the keys to remove.
    pub removed: Vec<u64>,
    /// How many streams of the current key the record holds.
    streams: usize,
}

impl Journal {
    /// Adds a stream. Returns its number: the stream is in the store once [`Self::stored`] has reached it.
    pub fn add(&mut self, now_ms: u64, stream: StreamId, origin: Origin) -> u64 {
        self.recent.push_back((now_ms, stream));
        self.origins.insert(stream, origin.clone());
        self.open.push((stream, origin));
        self.added += 1;
        self.added
    }

    /// Returns how many of the added streams are in the store.
    #[must_use]
    pub fn stored(&self) -> u64 {
        self.stored
    }

    /// Returns what this node knows of a stream by itself.
    #[must_use]
    pub fn find(&self, stream: StreamId) -> Found {
        let origin = self.origins.get(&stream).cloned();
        origin.map_or(Found::NotRecorded, Found::Recorded)
    }

    /// Returns the next transaction; `None` if there is nothing to do. The caller reports its outcome before the next call.
    /// Records are kept for `ttl_ms`, as long as a caller may resume a stream after its start.
    pub fn next_write(
        &mut self,
        now_ms: u64,
        now_unix_ms: u64,
        ttl_ms: u64,
    ) -> Option<JournalWrite> {
        self.forget_old(now_ms, ttl_ms);
        if now_ms >= self.opened_ms + RECORD_SPAN_MS {
            self.close_key(now_ms);
        }
        let has_streams = self.written < self.open.len();
        let old = self
            .closed
            .iter()
            .filter(|(_, closed_ms)| now_ms >= closed_ms + ttl_ms);
        let removed: Vec<u64> = old.map(|&(it, _)| it).take(MAX_REMOVALS).collect();
        if !has_streams && removed.len() < MIN_REMOVALS_ALONE {
            return None;
        }
        let record = has_streams.then(|| (self.sequence, self.record(now_unix_ms)));
        Some(JournalWrite {
            record,
            removed,
            streams: self.open.len(),
        })
    }

    /// Records that a transaction was committed.
    pub fn on_written(&mut self, write: &JournalWrite) {
        self.closed.retain(|(it, _)| !write.removed.contains(it));
        if write.record.is_some() {
            let new = write.streams.saturating_sub(self.written);
            self.stored += u64::try_from(new).unwrap_or(u64::MAX);
            self.written = write.streams;
        }
    }

    /// Records that a transaction failed or had no response. Its streams go to another key.
    pub fn on_failed(&mut self, now_ms: u64, write: &JournalWrite) {
        if write.record.is_some() {
            self.close_key(now_ms);
        }
    }

    /// Ends the current key. The streams that are not in the store stay.
    fn close_key(&mut self, now_ms: u64) {
        if !self.open.is_empty() {
            self.closed.push_back((self.sequence, now_ms));
            self.sequence += 1;
        }
        self.open.drain(..self.written);
        self.written = 0;
        self.opened_ms = now_ms;
    }

    fn record(&self, written_unix_ms: u64) -> OriginRecord {
        let mut streams: BTreeMap<&Origin, Vec<StreamId>> = BTreeMap::new();
        for (stream, origin) in &self.open {
            streams.entry(origin).or_default().push(*stream);
        }
        let streams = streams.into_iter();
        OriginRecord {
            written_unix_ms,
            streams: streams.map(|(it, ids)| (it.clone(), ids)).collect(),
        }
    }

    fn forget_old(&mut self, now_ms: u64, ttl_ms: u64) {
        while let Some((at_ms, stream)) = self.recent.front()
            && now_ms >= at_ms + ttl_ms
        {
            self.origins.remove(stream);
            self.recent.pop_front();
        }
    }
}
