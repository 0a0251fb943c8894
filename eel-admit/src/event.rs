//! Input events and output actions of the admission state machine.

use eel_types::{Class, Name, RequestKey};
use eel_verdict::Refusal;

use crate::LinkKey;

/// A request that arrived over a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Request id and attempt number.
    pub key: RequestKey,
    /// The link that delivered the request.
    pub link: LinkKey,
    /// The caller of the request; queues serve callers round-robin.
    pub caller: Name,
    /// Decides which queue the request enters.
    pub class: Class,
    /// The deadline on this process's clock.
    pub deadline_ms: u64,
    /// Whether the request may run more than once; only such requests are preempted.
    pub repeatable: bool,
}

/// The end of a started request: completed, failed or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Request id and attempt number.
    pub key: RequestKey,
    /// The time from its start to the first byte of the response; `None` if no byte was received.
    pub first_byte_ms: Option<u64>,
    /// The mean time between tokens; `None` for fewer than two tokens.
    pub between_tokens_ms: Option<u64>,
}

/// Capacity and latency objectives of the target's service, as its record declares them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The maximum number of queued online requests.
    pub queue: u32,
    /// The objective for the 95th percentile of the time to the first token or byte, for online requests.
    pub first_token_ms: u64,
    /// The objective for the 95th percentile of the mean time between tokens, for online requests.
    pub between_tokens_ms: u64,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 64,
            first_token_ms: 340,
            between_tokens_ms: 31,
        }
    }
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A link was closed.
    LinkClosed(LinkKey),
    /// A request arrived.
    Arrived(Arrival),
    /// A started request ended and released its slot.
    Finished(Finish),
    /// The entry node cancels a request.
    CancelRequested(RequestKey),
    /// The entry node asks whether an attempt ran. An attempt that has not started is kept from starting.
    Settle(RequestKey),
    /// The service's record changed.
    Configured(ServiceLimits),
    /// The process is shutting down.
    DrainStarted,
    /// The time that [`Admission::next_deadline_ms`](crate::Admission::next_deadline_ms) returned was reached.
    Tick,
    /// An entry node has batch items to send and requests credits for them.
    CreditsRequested(LinkKey),
}

/// The reply to [`Event::Settle`]: whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The attempt has not started and never will.
    NeverStarted,
    /// The attempt started.
    Started {
        /// Whether the target has ended it.
        finished: bool,
    },
    /// The history cannot tell, since it may have evicted the attempt or is full: the attempt may have run.
    Unknown,
}

/// An output of the state machine. The actions of one event are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Start(RequestKey),
    /// Refuse the request, which has not started and never will.
    Refuse(RequestKey, Refusal),
    /// Refuse the arrival that caused this action. The attempt arrived or was barred before; its state is unchanged.
    RefuseDuplicate(RequestKey, Refusal),
    /// Cancel the running batch item now to free its slot, and report [`Event::Finished`] once it has ended. The item
    /// may already have been cancelled.
    Preempt(RequestKey),
    /// Cancel the running request, and report [`Event::Finished`] once it has ended.
    Cancel(RequestKey),
    /// Reply to [`Event::Settle`] of this attempt.
    Settled(RequestKey, Settlement),
    /// Tell the entry node how many batch items it may send. Replaces the previous grant of the link.
    Grant {
        /// The link to the entry node.
        link: LinkKey,
        /// Batch items received over the link at the time of the grant; items sent after these use credits.
        received: u64,
        /// The number of batch items that the entry node may send.
        credits: u32,
        /// How long the credits are valid.
        valid_ms: u64,
    },
    /// The drain is complete: nothing is queued or running, and new requests are refused.
    DrainDone,
}
