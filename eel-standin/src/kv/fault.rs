//! Faults that the service shows on demand, and what it counts.

/// The faults that the service shows at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Answer every call with an error, without effect.
    pub unavailable: bool,
    /// Take calls and never answer, without effect.
    pub hang: bool,
    /// Wait this long before each call takes effect.
    pub delay_ms: u64,
    /// Wait this long between the effect of a call and its answer.
    pub response_delay_ms: u64,
    /// Cut the connection after the effect in place of an answer, for this many more writes.
    pub lost_responses: u32,
    /// Open watches but never send anything on them.
    pub silence_new_watches: bool,
    /// Cancel this many more watches as soon as they are open.
    pub canceled_watches: u32,
}

/// What the service has been asked since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Range reads and transactions that write nothing.
    pub reads: u64,
    /// Transactions and single operations that may write, lease grants and revocations.
    pub writes: u64,
    /// Lease extensions.
    pub keep_alives: u64,
    /// Watches opened.
    pub watches_opened: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answers, watches included.
    pub bytes_out: u64,
}
