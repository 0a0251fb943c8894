//! Routes, their kinds, and the split of their requests among services.

use eel_types::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The kind of a route's requests, which decides whether they may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another target may resume the stream after the last received event.
        resumable: bool,
        /// Maximum time between two events of a stream that meets its latency goal.
        event_gap_ms: u64,
    },
    /// A request submits a batch job of many items, which are accepted together and run later.
    Batch {
        /// Time from submission until all results are due.
        due_ms: u64,
        /// Time from submission after which an unfinished item may be abandoned.
        give_up_ms: u64,
    },
}

impl RouteKind {
    /// Returns whether the response is a stream that another target may resume.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable, .. } if resumable)
    }

    /// Returns whether a request that may have run may be sent again from its start.
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
    /// The service that gets the requests.
    pub service: Name,
    /// The weight relative to the other shares of the route; 0 gets requests only if all weights are 0.
    pub weight: u32,
}

/// A rule that maps requests for a host and path prefix to services, with their limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the record that declares the route; appears in logs.
    pub name: Name,
    /// The host of the requests, in lower case.
    pub host: Name,
    /// The prefix of the requests' paths; starts and ends with `/`.
    pub path_prefix: Name,
    /// The kind of the requests.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout_ms: u64,
    /// The latency goal: the time within which a response, or the first event of a stream, is on time.
    pub goal_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that get the requests, with their shares of the requests; at least one.
    pub shares: Vec<Share>,
    /// Maximum number of targets that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key of a tenant, although there are tenants.
    pub no_auth: bool,
}

impl Route {
    /// Returns the service for the request `request_id`, always the same for the same id. If all weights are 0, the
    /// first service gets all requests. `None` if the route has no shares.
    #[must_use]
    pub fn service_for(&self, request_id: &str) -> Option<&Name> {
        let total = total_weight(self.shares.iter());
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let at = xxh3_64(request_id.as_bytes()) % total;
        service_at(self.shares.iter(), at)
    }

    /// Returns the service for the request `request_id` among those that `is_available` accepts: the one that
    /// [`Self::service_for`] returns, or else one of the others by their weights. That one is returned all the same if the
    /// others are unavailable or have the weight 0.
    #[must_use]
    pub fn service_among(
        &self,
        request_id: &str,
        is_available: impl Fn(&Name) -> bool,
    ) -> Option<&Name> {
        let selected = self.service_for(request_id)?;
        if is_available(selected) {
            return Some(selected);
        }
        let others = self.shares.iter().filter(|share| share.weight > 0);
        let others = others.filter(|share| is_available(&share.service));
        let left = total_weight(others.clone());
        if left == 0 {
            return Some(selected);
        }
        // The remainder by the total weight has selected the unavailable service; the quotient does not depend on it.
        let at = xxh3_64(request_id.as_bytes()) / total_weight(self.shares.iter()) % left;
        service_at(others, at)
    }
}

fn total_weight<'a>(shares: impl Iterator<Item = &'a Share>) -> u64 {
    shares.map(|share| u64::from(share.weight)).sum()
}

/// Returns the service of the share that `at` falls into, if the weights follow one another from 0; `None` beyond them.
fn service_at<'a>(mut shares: impl Iterator<Item = &'a Share>, mut at: u64) -> Option<&'a Name> {
    let share = shares.find(|share| {
        let weight = u64::from(share.weight);
        let is_found = at < weight;
        at = at.saturating_sub(weight);
        is_found
    });
    share.map(|share| &share.service)
}
