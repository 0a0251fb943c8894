//! Online requests as they arrive at the queue, and the decisions on them.

use eel_types::Name;

use crate::{Rejection, TargetKey, TicketKey};

/// An online request that needs a slot.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// The service whose targets can run the request.
    pub service: &'a Name,
    /// The tenant whose requests compete with those of others; `None` if the request has none.
    pub tenant: Option<Name>,
    /// The priority of the tenant, which goes before that of the route; 0 is the most urgent, and stands for no tenant.
    pub tenant_priority: u8,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// The latest start that still meets the latency goal.
    pub start_by_ms: u64,
    /// The latest start that is still of use to the caller.
    pub give_up_ms: u64,
    /// Whether the request waits until `give_up_ms` even if it is not expected to start in time, because it can no
    /// longer be refused as not run.
    pub accepts_late: bool,
    /// Targets that must not be chosen, because the request was sent to them before.
    pub excluded: Vec<TargetKey>,
    /// The only version that may be chosen, because it began the stream that the request continues; `None` if any may be
    /// chosen.
    pub version: Option<Name>,
    /// Breaks ties between equally ranked targets; differs between requests.
    pub tie_breaker: u64,
}

/// How to proceed with a request that has just arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this target, where it already counts as in flight.
    Start(TargetKey),
    /// Hold it until [`dispatch_waiting`](crate::Dispatcher::dispatch_waiting) returns the ticket.
    Wait(TicketKey),
    /// Reject it with the verdict not-run.
    Reject(Rejection),
}

/// A request that has left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dequeued {
    /// The service; tickets are unique only within one service.
    pub service: Name,
    /// The ticket from [`Decision::Wait`].
    pub ticket: TicketKey,
    /// The target to send the request to, where it already counts as in flight, or why it is rejected.
    pub outcome: Result<TargetKey, Rejection>,
}
