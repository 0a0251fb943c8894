//! A set of blocked parts in the platform's store.

use serde::{Deserialize, Serialize};

use crate::PartSet;

/// The time from the first block of parts until a request with them may be tried, in ms; ten times as long after each try.
const INITIAL_TRIAL_DELAY_MS: u64 = 60_000;
/// The maximum of that time.
const MAX_TRIAL_DELAY_MS: u64 = 86_400_000;

/// A set of blocked parts, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// The parts, for operators to read.
    pub ids: String,
    /// The parts.
    pub parts: PartSet,
    /// How often a request with the parts was tried since they were blocked.
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
            next_trial_unix_ms: now_unix_ms + INITIAL_TRIAL_DELAY_MS,
        }
    }

    /// Returns the record after a trial that starts now.
    #[must_use]
    pub fn after_trial(&self, now_unix_ms: u64) -> Self {
        let trials = self.trials.saturating_add(1);
        let factor = 10_u64.saturating_pow(trials);
        let delay_ms = INITIAL_TRIAL_DELAY_MS.saturating_mul(factor);
        Self {
            trials,
            next_trial_unix_ms: now_unix_ms + delay_ms.min(MAX_TRIAL_DELAY_MS),
            ..self.clone()
        }
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
