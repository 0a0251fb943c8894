//! Holds the configuration in force at the target node.

use std::sync::Arc;

use bytes::Bytes;
use eel_admit::ServiceLimits;
use eel_config::{OfferOutcome, Publisher};
use eel_record::{Protocol, Snapshot};
use eel_types::{Name, Revision};
use eel_wire::message::Configuration;

/// Holds the newest snapshot received from any entry node; an older one never replaces it.
pub(crate) struct ConfigState {
    pool: Name,
    publisher: Publisher,
}

impl ConfigState {
    pub(crate) fn new(pool: Name) -> Self {
        Self {
            pool,
            publisher: Publisher::new(),
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.publisher.snapshot().revision
    }

    /// Puts `configuration` in force if it is newer, and returns the limits that it sets for this pool; `None` if it is
    /// not newer, cannot be decoded, or has no service of this pool.
    pub(crate) fn offer(&self, configuration: &Configuration) -> Option<ServiceLimits> {
        if configuration.revision <= self.revision() {
            return None;
        }
        let snapshot: Snapshot = match serde_json::from_slice(&configuration.snapshot_json) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!(target: "config", "Cannot decode a snapshot: {error}.");
                return None;
            }
        };
        let offered = Arc::new(snapshot);
        if self.publisher.offer(offered.clone()) != OfferOutcome::Accepted {
            return None;
        }
        log::info!(target: "config", "Revision {} is in force.", offered.revision);
        pool_limits(&offered, &self.pool)
    }

    /// Returns whether the targets of `service` are model engines, which speak the `OpenAI` protocol.
    pub(crate) fn is_engine(&self, service: &Name) -> bool {
        let snapshot = self.publisher.snapshot();
        let service = snapshot.services.get(service);
        service.is_some_and(|service| service.protocol == Protocol::Openai)
    }

    /// Returns the configuration in force, for an entry node that cannot reach the key-value service.
    pub(crate) fn to_message(&self) -> Configuration {
        let snapshot = self.publisher.snapshot();
        let snapshot_json = serde_json::to_vec(snapshot.as_ref()).unwrap_or_default();
        Configuration {
            revision: snapshot.revision,
            snapshot_json: Bytes::from(snapshot_json),
        }
    }
}

/// Merges the limits of the services of `pool`: the most slots, the longest queue and the lowest latencies. Returns
/// `None` if the pool has no service.
fn pool_limits(snapshot: &Snapshot, pool: &Name) -> Option<ServiceLimits> {
    snapshot
        .services
        .values()
        .filter(|service| service.pool == *pool)
        .map(|service| ServiceLimits {
            slots: service.slots,
            queue: service.queue,
            first_token_ms: service.first_token_ms,
            between_tokens_ms: service.between_tokens_ms,
        })
        .reduce(|a, b| ServiceLimits {
            slots: a.slots.max(b.slots),
            queue: a.queue.max(b.queue),
            first_token_ms: a.first_token_ms.min(b.first_token_ms),
            between_tokens_ms: a.between_tokens_ms.min(b.between_tokens_ms),
        })
}
