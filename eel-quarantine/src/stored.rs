//! A set of blocked parts in the platform's store.

use serde::{Deserialize, Serialize};

use crate::PartSet;

/// The times until a request with the parts may be tried, in ms: from the block on, and after each trial that
/// failed. The first ones are short, as the crashes may have had another cause.
const FIRST_TRIAL_DELAYS_MS: [u64; 3] = [10_000, 20_000, 90_000];
/// The factor of each further one.
const TRIAL_DELAY_FACTOR: u64 = 10;
/// The maximum of these times, and the time after which a block ends if no request with the parts has come to be tried.
const MAX_TRIAL_DELAY_MS: u64 = 86_400_000;
/// How long a trial counts as running if its end is never recorded, as its node may have ended.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
/// The time until the next trial after one that showed nothing.
const INCONCLUSIVE_TRIAL_DELAY_MS: u64 = 1_000;

/// How a trial ended that did not disprove the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEnd {
    /// The target crashed, or nobody saw how the request ended.
    Failed,
    /// The request did not run, or was ended for another reason.
    Inconclusive,
}

/// A set of blocked parts, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// The parts, for operators to read.
    pub ids: String,
    /// The parts.
    pub parts: PartSet,
    /// How many trials of requests with the parts have failed since they were blocked.
    pub trials: u32,
    /// When a request with the parts may be tried again.
    pub next_trial_unix_ms: u64,
}

impl StoredBlock {
    /// Creates the record of parts that are blocked from now on.
    #[must_use]
    pub fn new(now_unix_ms: u64, parts: PartSet) -> Self {
        Self {
            ids: parts.to_string(),
            parts,
            trials: 0,
            next_trial_unix_ms: now_unix_ms + trial_delay_ms(0),
        }
    }

    /// Returns the record during a trial that starts now. If the trial's node ends, another trial follows.
    #[must_use]
    pub fn during_trial(&self, now_unix_ms: u64) -> Self {
        Self {
            next_trial_unix_ms: now_unix_ms + TRIAL_TIMEOUT_MS,
            ..self.clone()
        }
    }

    /// Returns the record after a trial that has ended now.
    #[must_use]
    pub fn after_trial(&self, now_unix_ms: u64, end: TrialEnd) -> Self {
        let (trials, delay_ms) = match end {
            TrialEnd::Failed => {
                let trials = self.trials.saturating_add(1);
                (trials, trial_delay_ms(trials))
            }
            TrialEnd::Inconclusive => (self.trials, INCONCLUSIVE_TRIAL_DELAY_MS),
        };
        Self {
            trials,
            next_trial_unix_ms: now_unix_ms + delay_ms,
            ..self.clone()
        }
    }

    /// Returns whether a request with the parts may be tried.
    #[must_use]
    pub fn is_trial_due(&self, now_unix_ms: u64) -> bool {
        now_unix_ms >= self.next_trial_unix_ms
    }

    /// Returns whether a trial has been due for so long that the block ends without one.
    #[must_use]
    pub fn is_abandoned(&self, now_unix_ms: u64) -> bool {
        now_unix_ms >= self.next_trial_unix_ms.saturating_add(MAX_TRIAL_DELAY_MS)
    }

    /// Encodes the record as a store value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Texts, numbers and lists always encode.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a store value; `None` if it is not a valid record.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let stored: Self = serde_json::from_slice(value).ok()?;
        (!stored.parts.is_empty()).then_some(stored)
    }
}

/// Returns the time until the next trial after `trials` that failed.
fn trial_delay_ms(trials: u32) -> u64 {
    let [.., last_ms] = FIRST_TRIAL_DELAYS_MS;
    let index = usize::try_from(trials).unwrap_or(usize::MAX);
    FIRST_TRIAL_DELAYS_MS
        .get(index)
        .copied()
        .unwrap_or_else(|| {
            let further = index.saturating_sub(FIRST_TRIAL_DELAYS_MS.len() - 1);
            let factor =
                TRIAL_DELAY_FACTOR.saturating_pow(u32::try_from(further).unwrap_or(u32::MAX));
            last_ms.saturating_mul(factor)
        })
        .min(MAX_TRIAL_DELAY_MS)
}
