//! Leases and the keys attached to them.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

const MS_PER_S: u64 = 1000;

#[derive(Debug)]
struct Lease {
    ttl_s: u64,
    expires_ms: u64,
    keys: BTreeSet<Bytes>,
}

/// All leases that were neither revoked nor removed after they expired.
#[derive(Debug, Default)]
pub struct Leases {
    leases: BTreeMap<i64, Lease>,
    last_id: i64,
}

impl Leases {
    /// Grants a lease and returns its id; an `id` of 0 lets the service choose.
    pub fn grant(&mut self, id: i64, ttl_s: u64, now_ms: u64) -> i64 {
        self.last_id += 1;
        let id = if id == 0 { self.last_id } else { id };
        let lease = Lease {
            ttl_s,
            expires_ms: now_ms + ttl_s * MS_PER_S,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Extends a lease and returns its time to live in seconds.
    pub fn extend(&mut self, id: i64, now_ms: u64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_ms = now_ms + lease.ttl_s * MS_PER_S;
        Some(lease.ttl_s)
    }

    pub fn exists(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    pub fn ids(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Returns the time to live that the lease was granted with, in seconds.
    pub fn ttl_s(&self, id: i64) -> Option<u64> {
        Some(self.leases.get(&id)?.ttl_s)
    }

    /// Removes a lease and returns the keys attached to it.
    pub fn remove(&mut self, id: i64) -> Option<BTreeSet<Bytes>> {
        Some(self.leases.remove(&id)?.keys)
    }

    /// Returns the ids of the leases that have expired but are not removed yet.
    pub fn expired(&self, now_ms: u64) -> Vec<i64> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Attaches `key` to the lease `id` and detaches it from any other; 0 stands for no lease.
    pub fn attach(&mut self, key: &Bytes, id: i64) {
        self.detach(key);
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key.clone());
        }
    }

    pub fn detach(&mut self, key: &Bytes) {
        for lease in self.leases.values_mut() {
            lease.keys.remove(key);
        }
    }
}
