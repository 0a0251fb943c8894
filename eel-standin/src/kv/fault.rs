//! Faults that the key-value service can show, and the counts that it keeps.

/// The faults that the service shows until others are set. The default shows none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Respond to every call with status 503, without effect.
    pub unavailable: bool,
    /// Accept calls and never respond, without effect.
    pub hang: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay between the effect of a call and its response, in milliseconds.
    pub response_delay_ms: u64,
    /// Close the connection after the effect instead of responding, for this many more calls that are not reads.
    pub lost_responses: u32,
    /// Open watches without ever sending anything on them.
    pub silence_new_watches: bool,
    /// Cancel this many more watches as soon as they are created.
    pub canceled_watches: u32,
}

/// The calls and bytes that the service has handled since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Range reads, transactions that only read, and queries of a lease's time to live.
    pub reads: u64,
    /// Transactions and single operations that may write, compactions, lease grants and revocations.
    pub writes: u64,
    /// Lease extensions.
    pub keep_alives: u64,
    /// Watches opened, including those that were closed since.
    pub watches_opened: u64,
    /// Watches that are open.
    pub open_watches: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of response bodies and of watch events.
    pub bytes_out: u64,
}
