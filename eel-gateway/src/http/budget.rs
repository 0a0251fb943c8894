//! Decides which bodies and responses may use the node's memory.

use std::{collections::HashMap, net::IpAddr};

use slotmap::{SlotMap, new_key_type};

/// The size up to which a body may use the part of the budget that larger ones cannot, in bytes: ordinary bodies have up
/// to 72 KB.
const SMALL_BYTES: usize = 96 * 1024;
/// How long a body may make no progress before it counts as slow, in ms: longer than a round trip between continents.
const BODY_STALL_MS: u64 = 250;
/// How long a body may take before its mean rate counts, in ms.
const RATE_AFTER_MS: u64 = 1_000;
/// The mean rate below which a body counts as slow, in bytes per second.
const MIN_RATE_BYTES_PER_S: u64 = 32 * 1024;
/// How long a part of a response may stay unread before it counts as slow, in ms.
const UNREAD_MS: u64 = 1_000;

new_key_type! {
    /// A body or a part of a response that holds memory.
    pub struct HoldKey;
}

/// What holds memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// A body that is still arriving.
    Arriving,
    /// A body that has arrived, in the queue or kept for retries; never evicted.
    Whole,
    /// A part of a response that the caller has not read.
    Response,
}

/// The budget has no room, and no slow holder to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short;

struct Hold {
    address: IpAddr,
    kind: HoldKind,
    /// The bytes that are reserved.
    bytes: usize,
    /// The bytes that have arrived.
    received: u64,
    started_ms: u64,
    progressed_ms: u64,
}

impl Hold {
    fn is_slow(&self, now_ms: u64) -> bool {
        let stalled_ms = now_ms.saturating_sub(self.progressed_ms);
        match self.kind {
            HoldKind::Arriving => {
                let elapsed_ms = now_ms.saturating_sub(self.started_ms);
                let expected = elapsed_ms * MIN_RATE_BYTES_PER_S / 1_000;
                stalled_ms >= BODY_STALL_MS
                    || (elapsed_ms >= RATE_AFTER_MS && self.received < expected)
            }
            HoldKind::Response => stalled_ms >= UNREAD_MS,
            HoldKind::Whole => false,
        }
    }
}

/// What other holders than one of `address` have reserved, in bytes.
struct Others {
    address: IpAddr,
    total: usize,
    of_address: usize,
}

/// The bytes that bodies and unread responses hold, in total and by caller address.
pub struct Budget {
    total_bytes: usize,
    used_bytes: usize,
    by_address: HashMap<IpAddr, usize>,
    holds: SlotMap<HoldKey, Hold>,
}

impl Budget {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            used_bytes: 0,
            by_address: HashMap::new(),
            holds: SlotMap::with_key(),
        }
    }

    /// Returns the reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a holder without any bytes.
    pub fn open(&mut self, address: IpAddr, kind: HoldKind, now_ms: u64) -> HoldKey {
        self.holds.insert(Hold {
            address,
            kind,
            bytes: 0,
            received: 0,
            started_ms: now_ms,
            progressed_ms: now_ms,
        })
    }

    /// Removes a holder and releases its bytes. Does nothing if it has been evicted.
    pub fn close(&mut self, key: HoldKey) {
        let Some(hold) = self.holds.remove(key) else {
            return;
        };
        self.used_bytes -= hold.bytes;
        if let Some(used) = self.by_address.get_mut(&hold.address) {
            *used -= hold.bytes;
            if *used == 0 {
                self.by_address.remove(&hold.address);
            }
        }
    }

    /// Records that `bytes` more bytes have arrived.
    pub fn on_progress(&mut self, key: HoldKey, bytes: usize, now_ms: u64) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.received += bytes as u64;
            hold.progressed_ms = now_ms;
        }
    }

    /// Records that a body has arrived completely and holds `bytes`, at most what it has reserved.
    pub fn complete(&mut self, key: HoldKey, bytes: usize) {
        self.set(key, bytes);
        if let Some(hold) = self.holds.get_mut(key) {
            hold.kind = HoldKind::Whole;
        }
    }

    /// Reserves `bytes` for a holder in place of what it has. Returns the slow holders that were removed for it, those
    /// without progress for the longest first.
    ///
    /// # Errors
    ///
    /// [`Short`] if there is no room even without them, or the holder has been evicted. Nothing changes then.
    pub fn grow(&mut self, key: HoldKey, bytes: usize, now_ms: u64) -> Result<Vec<HoldKey>, Short> {
        let hold = self.holds.get(key).ok_or(Short)?;
        let used = self.by_address.get(&hold.address).copied();
        let mut others = Others {
            address: hold.address,
            total: self.used_bytes - hold.bytes,
            of_address: used.unwrap_or(0) - hold.bytes,
        };
        let evicted = self.victims(key, bytes, &mut others, now_ms);
        if !self.fits(bytes, &others) {
            return Err(Short);
        }
        for victim in &evicted {
            self.close(*victim);
        }
        self.set(key, bytes);
        Ok(evicted)
    }

    /// Chooses slow holders to remove until `bytes` fit beside `others`, which is updated; they may not fit even then.
    fn victims(
        &self,
        key: HoldKey,
        bytes: usize,
        others: &mut Others,
        now_ms: u64,
    ) -> Vec<HoldKey> {
        let mut victims = Vec::new();
        if self.fits(bytes, others) {
            return victims;
        }
        for victim in self.slow_holds(key, now_ms) {
            if self.fits(bytes, others) {
                break;
            }
            let hold = &self.holds[victim];
            let is_own = hold.address == others.address;
            // Holders of other addresses are in the way only where the total is short.
            if is_own || others.total + bytes > self.limit(bytes) {
                others.total -= hold.bytes;
                others.of_address -= if is_own { hold.bytes } else { 0 };
                victims.push(victim);
            }
        }
        victims
    }

    /// Returns whether a holder of `bytes` fits beside `others`. A body within the limits is served where nothing else holds
    /// memory, whatever its size.
    fn fits(&self, bytes: usize, others: &Others) -> bool {
        let limit = self.limit(bytes);
        let fits_share = others.of_address == 0 || others.of_address + bytes <= limit / 2;
        others.total == 0 || (others.total + bytes <= limit && fits_share)
    }

    /// Returns how many bytes may be held in total when a holder grows to `bytes`. A part is kept for small bodies.
    fn limit(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.total_bytes
        } else {
            self.total_bytes / 4 * 3
        }
    }

    /// Returns the slow holders other than `key` that hold bytes, those without progress for the longest first.
    fn slow_holds(&self, key: HoldKey, now_ms: u64) -> Vec<HoldKey> {
        let is_slow = |it: &(HoldKey, &Hold)| it.0 != key && it.1.bytes > 0 && it.1.is_slow(now_ms);
        let mut slow: Vec<_> = self.holds.iter().filter(is_slow).collect();
        slow.sort_by_key(|(_, hold)| hold.progressed_ms);
        slow.into_iter().map(|(key, _)| key).collect()
    }

    fn set(&mut self, key: HoldKey, bytes: usize) {
        let Some(hold) = self.holds.get_mut(key) else {
            return;
        };
        let used = self.by_address.entry(hold.address).or_default();
        *used = *used - hold.bytes + bytes;
        if *used == 0 {
            self.by_address.remove(&hold.address);
        }
        self.used_bytes = self.used_bytes - hold.bytes + bytes;
        hold.bytes = bytes;
    }
}
