//! What the state machine hears and what it asks for.

use eel_types::{Class, Name, RequestKey};
use eel_verdict::Refusal;

use crate::LinkKey;

/// A request that has come over a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The attempt.
    pub key: RequestKey,
    /// The link it came over.
    pub link: LinkKey,
    /// The caller, for fairness.
    pub caller: Name,
    /// The priority class.
    pub class: Class,
    /// The deadline on this process's clock.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// The end of a started request: whole, failed or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The attempt.
    pub key: RequestKey,
    /// The time from its start to the first byte of the answer, if one came.
    pub first_byte_ms: Option<u64>,
    /// The mean time between tokens, if there were several.
    pub between_tokens_ms: Option<u64>,
}

/// What the service's record states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Online requests that may wait for a slot.
    pub queue: u32,
    /// The time to the first token or byte that 95 in 100 online requests should meet.
    pub first_token_ms: u64,
    /// The time between tokens that 95 in 100 online requests should meet.
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

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A link has closed.
    LinkClosed(LinkKey),
    /// A request has come.
    Arrived(Arrival),
    /// A started request has ended and holds its slot no longer.
    Finished(Finish),
    /// The entry node wants a request cancelled.
    CancelRequested(RequestKey),
    /// The entry node asks what became of an attempt, and bars it from starting if it has not started.
    Settle(RequestKey),
    /// The record has changed.
    Configured(ServiceLimits),
    /// The process is shutting down.
    DrainStarted,
    /// The time from [`Admission::next_deadline_ms`](crate::Admission::next_deadline_ms) has come.
    Tick,
    /// An entry node has batch items to send.
    CreditsRequested(LinkKey),
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It has not started and never will.
    NeverStarted,
    /// It has started.
    Started {
        /// Whether it has ended at the target.
        finished: bool,
    },
    /// It is not remembered, but may have been forgotten: it may have run.
    Unknown,
}

/// What the caller of the state machine has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Start(RequestKey),
    /// Answer the request, which did not start and never will.
    Refuse(RequestKey, Refusal),
    /// Answer the arrival that caused this; the same attempt is known already and stays as it is.
    RefuseDuplicate(RequestKey, Refusal),
    /// Cancel the running batch item now to make room, and report [`Event::Finished`] once it has ended. It may have been
    /// cancelled already.
    Preempt(RequestKey),
    /// Cancel the running request, and report [`Event::Finished`] once it has ended.
    Cancel(RequestKey),
    /// Answer [`Event::Settle`].
    Settled(RequestKey, Settlement),
    /// Tell the entry node how many batch items it may send; replaces what it was told before.
    Grant {
        /// The link to the entry node.
        link: LinkKey,
        /// Batch items that had come over the link when this was decided; those sent since use credits up.
        received: u64,
        /// Batch items that it may send.
        credits: u32,
        /// How long they are good for.
        valid_ms: u64,
    },
    /// Nothing runs or waits any more, and nothing new is taken.
    DrainDone,
}
