//! Settings of the membership decisions.

use eel_types::Name;

use crate::LinkLimits;

/// Who decides, and its times and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The entry node's VM.
    pub vm: Name,
    /// The data centre that the entry node is in.
    pub data_centre: Name,
    /// The pool under which the VM list shows the entry nodes themselves.
    pub entry_pool: Name,
    /// How many links to keep.
    pub limits: LinkLimits,
    /// A target that was not heard for this long gets no new work.
    pub suspect_after_ms: u64,
    /// A target that was not heard for this long is dead.
    pub dead_after_ms: u64,
    /// A target that closed its link or died is tried again after this long, doubling up to `reconnect_max_ms`.
    pub reconnect_first_ms: u64,
    /// The longest time between attempts to reach a target.
    pub reconnect_max_ms: u64,
    /// A target that came back is used again after this long, doubling with each failure up to `hold_max_ms`.
    pub hold_first_ms: u64,
    /// The longest time that a flapping target is held back.
    pub hold_max_ms: u64,
    /// Each span of this length without a failure takes one failure off a target's count.
    pub flap_decay_ms: u64,
    /// A VM that is neither listed nor linked is forgotten after this long.
    pub forget_after_ms: u64,
}

impl Options {
    /// The defaults, which fit heartbeats every 500 ms and a tick every 250 ms.
    #[must_use]
    pub fn new(vm: Name, data_centre: Name) -> Self {
        Self {
            vm,
            data_centre,
            entry_pool: Name::from("entry"),
            limits: LinkLimits::default(),
            suspect_after_ms: 1_100, // two heartbeats and some jitter
            dead_after_ms: 1_700,    // three heartbeats; a tick later it is still under 2 s
            reconnect_first_ms: 250,
            reconnect_max_ms: 2_000,
            hold_first_ms: 500,
            hold_max_ms: 30_000,
            flap_decay_ms: 30_000,
            forget_after_ms: 600_000,
        }
    }
}
