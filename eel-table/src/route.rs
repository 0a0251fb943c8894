//! One route.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64;

/// What a route's requests are, and therefore what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once.
    NonIdempotent,
    /// Answered by a stream of numbered events.
    Stream {
        /// Whether another target may go on after the last event that was received.
        resumable: bool,
        /// The longest pause between two events of an answer that is on time.
        event_gap_ms: u64,
    },
    /// A batch job: many items, accepted together and run later.
    Batch {
        /// How long after its submission all results are due.
        due_ms: u64,
        /// How long after its submission an item may be given up.
        give_up_ms: u64,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again from its start.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Batch { .. } => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// Which requests go where, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that callers ask for, in lower case.
    pub host: Name,
    /// The path's beginning; starts and ends with `/`.
    pub path_prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until the final answer.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, is on time.
    pub goal_ms: u64,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that answer, at least one.
    pub shares: Vec<Share>,
    /// The most targets that one request may run on.
    pub max_attempts: u32,
}

impl Route {
    /// Picks the service for the request `request_id`; the same id always gets the same one.
    #[must_use]
    pub fn service_for(&self, request_id: &str) -> Option<&Name> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut at = xxh3_64(request_id.as_bytes()) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }
}
