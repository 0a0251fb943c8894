//! The state of the service, shared by its connections.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::sync::mpsc;

use super::{
    fault::{CallCounts, Faults},
    message::{Event, LeaseResponse, Range, RangeResponse, Txn, TxnResponse, WatchCreate},
    mvcc::KeyRange,
    txn::{Refusal, State},
    watcher::{WatchBody, WatchMessage, Watchers, encode_line},
};

#[derive(Debug)]
struct Inner {
    state: State,
    watchers: Watchers,
    faults: Faults,
    counts: CallCounts,
}

/// The state of the service behind one lock.
#[derive(Debug)]
pub struct Shared {
    inner: Mutex<Inner>,
    started: Instant,
}

impl Shared {
    pub fn new() -> Self {
        let inner = Inner {
            state: State::new(),
            watchers: Watchers::default(),
            faults: Faults::default(),
            counts: CallCounts::default(),
        };
        Self {
            inner: Mutex::new(inner),
            started: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns whether this response is to be lost, and takes it off [`Faults::lost_responses`].
    pub fn take_lost_response(&self) -> bool {
        let mut inner = self.lock();
        let lost = inner.faults.lost_responses > 0;
        inner.faults.lost_responses = inner.faults.lost_responses.saturating_sub(1);
        lost
    }

    pub fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        change(&mut self.lock().counts);
    }

    pub fn counts(&self) -> CallCounts {
        let inner = self.lock();
        let open_watches = u64::try_from(inner.watchers.len()).unwrap_or(u64::MAX);
        CallCounts {
            open_watches,
            ..inner.counts
        }
    }

    pub fn revision(&self) -> u64 {
        self.lock().state.mvcc.revision
    }

    pub fn range(&self, range: &Range) -> Result<RangeResponse, Refusal> {
        self.lock().state.range(range)
    }

    pub fn commit(&self, txn: &Txn) -> Result<TxnResponse, Refusal> {
        let mut inner = self.lock();
        let (response, events) = inner.state.commit(txn)?;
        inner.publish(&events);
        Ok(response)
    }

    pub fn compact(&self, revision: u64) -> Result<(), Refusal> {
        let mut inner = self.lock();
        if revision > inner.state.mvcc.revision {
            return Err(Refusal::Invalid);
        }
        if revision <= inner.state.mvcc.compacted {
            return Err(Refusal::Compacted);
        }
        inner.state.mvcc.compact(revision);
        Ok(())
    }

    pub fn grant(&self, id: i64, ttl_s: u64) -> LeaseResponse {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let id = inner.state.leases.grant(id, ttl_s, now_ms);
        lease_response(&inner, id, ttl_s)
    }

    /// Extends a lease; the time to live in the response is 0 if the lease is unknown.
    pub fn extend(&self, id: i64) -> LeaseResponse {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let ttl_s = inner.state.leases.extend(id, now_ms).unwrap_or(0);
        lease_response(&inner, id, ttl_s)
    }

    /// Returns the granted time to live of a lease, 0 if the lease is unknown.
    pub fn time_to_live(&self, id: i64) -> LeaseResponse {
        let inner = self.lock();
        let ttl_s = inner.state.leases.ttl_s(id).unwrap_or(0);
        lease_response(&inner, id, ttl_s)
    }

    pub fn revoke(&self, id: i64) -> Result<LeaseResponse, Refusal> {
        let mut inner = self.lock();
        let events = inner.state.revoke_lease(id)?;
        inner.publish(&events);
        Ok(lease_response(&inner, id, 0))
    }

    pub fn lease_ids(&self) -> Vec<i64> {
        self.lock().state.leases.ids()
    }

    /// Revokes the leases that have expired.
    pub fn expire_leases(&self) {
        let now_ms = self.now_ms();
        let expired = self.lock().state.leases.expired(now_ms);
        for id in expired {
            let _ = self.revoke(id);
        }
    }

    /// Opens a watch, which gets the changes since its start revision and then those to come.
    pub fn open_watch(self: &Arc<Self>, create: &WatchCreate) -> WatchBody {
        let (sender, lines) = mpsc::unbounded_channel();
        let range = KeyRange::new(&create.key, &create.end);
        let start = create.start_revision.unsigned();
        let mut inner = self.lock();
        inner.counts.watches_opened += 1;
        let revision = inner.state.mvcc.revision;
        let compacted = inner.state.mvcc.compacted;
        let silent = inner.faults.silence_new_watches;
        if !silent {
            let _ = sender.send(encode_line(revision, WatchMessage::Created));
        }
        if inner.faults.canceled_watches > 0 {
            inner.faults.canceled_watches -= 1;
            let _ = sender.send(encode_line(revision, WatchMessage::Canceled));
            return WatchBody::new(0, lines, self);
        }
        if start > 0 && start <= compacted {
            let _ = sender.send(encode_line(revision, WatchMessage::Compacted(compacted)));
            return WatchBody::new(0, lines, self);
        }
        if start > 0 && !silent {
            for (_, events) in inner.state.mvcc.changes(&range, start) {
                let _ = sender.send(encode_line(revision, WatchMessage::Events(events)));
            }
        }
        let id = inner.watchers.open(range, sender, silent);
        WatchBody::new(id, lines, self)
    }

    pub fn close_watch(&self, id: u64) {
        self.lock().watchers.close(id);
    }

    pub fn with_watchers(&self, change: impl FnOnce(&mut Watchers)) {
        change(&mut self.lock().watchers);
    }

    pub fn send_progress(&self) {
        let inner = self.lock();
        inner.watchers.progress(inner.state.mvcc.revision);
    }
}

impl Inner {
    fn publish(&mut self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let revision = self.state.mvcc.revision;
        self.counts.bytes_out += self.watchers.publish(events, revision);
    }
}

fn lease_response(inner: &Inner, id: i64, ttl_s: u64) -> LeaseResponse {
    LeaseResponse {
        header: inner.state.header(),
        id: super::message::Int64(id),
        ttl_s: ttl_s.into(),
    }
}
