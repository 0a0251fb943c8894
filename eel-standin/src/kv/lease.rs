//! Leases and the keys attached to them.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

const MS_PER_S: u64 = 1000;

#[derive(Debug)]
struct Granted {
    ttl_s: u64,
    expires_ms: u64,
    keys: BTreeSet<Bytes>,
}

/// All leases that have not expired.
#[derive(Debug, Default)]
pub struct Leases {
    granted: BTreeMap<i64, Granted>,
    last_id: i64,
}

impl Leases {
    pub fn grant(&mut self, id: i64, ttl_s: u64, now_ms: u64) -> i64 {
        self.last_id += 1;
        let id = if id == 0 { self.last_id } else { id };
        let granted = Granted {
            ttl_s,
            expires_ms: now_ms + ttl_s * MS_PER_S,
            keys: BTreeSet::new(),
        };
        self.granted.insert(id, granted);
        id
    }

    /// Extends a lease and returns its time to live in seconds.
    pub fn extend(&mut self, id: i64, now_ms: u64) -> Option<u64> {
        let granted = self.granted.get_mut(&id)?;
        granted.expires_ms = now_ms + granted.ttl_s * MS_PER_S;
        Some(granted.ttl_s)
    }

    pub fn exists(&self, id: i64) -> bool {
        self.granted.contains_key(&id)
    }

    pub fn ids(&self) -> Vec<i64> {
        self.granted.keys().copied().collect()
    }

    pub fn ttl_s(&self, id: i64) -> Option<u64> {
        Some(self.granted.get(&id)?.ttl_s)
    }

    /// Ends a lease and returns its keys.
    pub fn remove(&mut self, id: i64) -> Option<BTreeSet<Bytes>> {
        Some(self.granted.remove(&id)?.keys)
    }

    pub fn expired(&self, now_ms: u64) -> Vec<i64> {
        self.granted
            .iter()
            .filter(|(_, granted)| granted.expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Attaches `key` to `id`, and to no other lease; 0 stands for none.
    pub fn attach(&mut self, key: &Bytes, id: i64) {
        self.detach(key);
        if let Some(granted) = self.granted.get_mut(&id) {
            granted.keys.insert(key.clone());
        }
    }

    pub fn detach(&mut self, key: &Bytes) {
        for granted in self.granted.values_mut() {
            granted.keys.remove(key);
        }
    }
}
