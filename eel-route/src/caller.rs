//! Limits on the rate and concurrency of each caller's requests at one entry node.

use std::collections::HashMap;

use eel_types::Name;
use eel_verdict::{Reason, Refusal};
use slotmap::{SlotMap, new_key_type};

use crate::bucket::TokenBucket;

/// Minimum retry delay of a caller with too many open requests.
const MIN_RETRY_AFTER_MS: u64 = 50;

new_key_type! {
    struct CallerKey;
    /// Identifies one open request of a caller.
    pub struct PermitKey;
}

/// The limits of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimit {
    /// Requests per second.
    pub rate_per_s: u32,
    /// Requests that may start at once after an idle time.
    pub burst: u32,
    /// Requests that may be open at the same time.
    pub concurrency: u32,
}

#[derive(Debug)]
struct Caller {
    limit: CallerLimit,
    bucket: TokenBucket,
    open: u32,
    mean_open_ms: u64,
}

#[derive(Debug)]
struct Permit {
    caller: CallerKey,
    acquired_ms: u64,
}

/// Admits requests within the limits of each caller. Memory is bounded by the number of callers and their concurrency.
#[derive(Debug, Default)]
pub struct CallerLimits {
    names: HashMap<Name, CallerKey>,
    callers: SlotMap<CallerKey, Caller>,
    permits: SlotMap<PermitKey, Permit>,
}

impl CallerLimits {
    /// Adds a caller or changes its limits. Open requests stay open.
    pub fn set(&mut self, now_ms: u64, name: &Name, limit: CallerLimit) {
        if let Some(caller) = self
            .names
            .get(name)
            .and_then(|key| self.callers.get_mut(*key))
        {
            caller.limit = limit;
            caller
                .bucket
                .reconfigure(now_ms, limit.rate_per_s, limit.burst);
            return;
        }
        let key = self.callers.insert(Caller {
            limit,
            bucket: TokenBucket::new(now_ms, limit.rate_per_s, limit.burst),
            open: 0,
            mean_open_ms: 0,
        });
        self.names.insert(name.clone(), key);
    }

    /// Removes a caller. Its open requests go on, and their permits are released as usual.
    pub fn remove(&mut self, name: &Name) {
        if let Some(key) = self.names.remove(name) {
            self.callers.remove(key);
        }
    }

    /// Admits one request of the caller `name`.
    ///
    /// # Errors
    ///
    /// `Unauthorized` for an unknown caller; `CallerLimit` for a caller over its rate or concurrency. The retry delay
    /// is exact for the rate, and the mean time between releases for the concurrency.
    pub fn try_acquire(&mut self, now_ms: u64, name: &Name) -> Result<PermitKey, Refusal> {
        let key = self.names.get(name).copied().unwrap_or_default();
        let Some(caller) = self.callers.get_mut(key) else {
            return Err(Refusal::not_run(Reason::Unauthorized));
        };
        if caller.open >= caller.limit.concurrency {
            let between_releases_ms = caller.mean_open_ms / u64::from(caller.open.max(1));
            let retry_after_ms = between_releases_ms.max(MIN_RETRY_AFTER_MS);
            return Err(Refusal::not_run(Reason::CallerLimit).retry_after(retry_after_ms));
        }
        match caller.bucket.try_take(now_ms) {
            Ok(()) => {
                caller.open += 1;
                let permit = Permit {
                    caller: key,
                    acquired_ms: now_ms,
                };
                Ok(self.permits.insert(permit))
            }
            Err(u64::MAX) => Err(Refusal::not_run(Reason::CallerLimit)),
            Err(wait_ms) => Err(Refusal::not_run(Reason::CallerLimit).retry_after(wait_ms)),
        }
    }

    /// Releases the permit of a request that has ended. A second release of the same permit is ignored.
    pub fn release(&mut self, now_ms: u64, permit: PermitKey) {
        let Some(permit) = self.permits.remove(permit) else {
            return;
        };
        let Some(caller) = self.callers.get_mut(permit.caller) else {
            return;
        };
        let open_ms = now_ms.saturating_sub(permit.acquired_ms);
        caller.open -= 1;
        caller.mean_open_ms = (caller.mean_open_ms * 7 + open_ms) / 8;
    }

    /// Returns the number of the caller's open requests; 0 for an unknown caller.
    #[must_use]
    pub fn open(&self, name: &Name) -> u32 {
        let key = self.names.get(name).copied().unwrap_or_default();
        self.callers.get(key).map_or(0, |caller| caller.open)
    }

    /// Returns the number of permits held, over all callers.
    #[must_use]
    pub fn permits(&self) -> usize {
        self.permits.len()
    }
}
