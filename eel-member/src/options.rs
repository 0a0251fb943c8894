//! Settings of the membership state machine.

use eel_types::Name;

use crate::LinkLimits;

/// The identity of the entry node, and the times and limits of its membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The entry node's VM.
    pub vm: Name,
    /// The data centre that the entry node is in.
    pub data_centre: Name,
    /// The pool under which the VM list shows the entry nodes.
    pub entry_pool: Name,
    /// How many links to keep.
    pub limits: LinkLimits,
    /// Time without a message after which a target gets no new work.
    pub suspect_after_ms: u64,
    /// Time without a message after which a target counts as dead.
    pub dead_after_ms: u64,
    /// Delay of the first reconnect to a target that died or closed its link. It doubles up to `reconnect_max_ms`.
    pub reconnect_first_ms: u64,
    /// Upper bound of the reconnect delay.
    pub reconnect_max_ms: u64,
    /// How long a target is not used after its first failure. The time doubles with each failure up to `hold_max_ms`.
    pub hold_first_ms: u64,
    /// Upper bound of the time for which a flapping target is not used.
    pub hold_max_ms: u64,
    /// Time without a failure that reduces a target's failure count by one.
    pub flap_decay_ms: u64,
    /// How long a VM that is neither listed nor linked is kept.
    pub forget_after_ms: u64,
}

impl Options {
    /// Returns the defaults, which suit a heartbeat interval of 500 ms and a tick interval of 250 ms.
    #[must_use]
    pub fn new(vm: Name, data_centre: Name) -> Self {
        Self {
            vm,
            data_centre,
            entry_pool: Name::from("entry"),
            limits: LinkLimits::default(),
            suspect_after_ms: 1_100, // two heartbeats plus jitter
            dead_after_ms: 1_700,    // three heartbeats; detected one tick later, still within 2 s
            reconnect_first_ms: 250,
            reconnect_max_ms: 2_000,
            hold_first_ms: 500,
            hold_max_ms: 30_000,
            flap_decay_ms: 30_000,
            forget_after_ms: 600_000,
        }
    }
}
