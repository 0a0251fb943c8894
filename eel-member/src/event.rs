//! The inputs and outputs of the membership state machine.

use std::net::SocketAddr;

use eel_types::{Incarnation, ListedVm, Name};

/// An observation about the targets, or the passing of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The VM list was read.
    ListRead {
        /// All VMs on the list, entry nodes included.
        vms: Vec<ListedVm>,
    },
    /// The VM list could not be read.
    ListFailed,
    /// A target sent a message, be it a heartbeat or any other.
    MessageReceived {
        /// The target's VM.
        vm: Name,
        /// The process that sent the message.
        incarnation: Incarnation,
    },
    /// A target announced that it is leaving.
    LeavingAnnounced {
        /// The target's VM.
        vm: Name,
        /// The process that sent the message.
        incarnation: Incarnation,
    },
    /// A link made no progress although requests or heartbeats were due on it, and was abandoned.
    LinkSilent {
        /// The target's VM.
        vm: Name,
        /// The process at the other end; `None` if it sent no message.
        incarnation: Option<Incarnation>,
    },
    /// A link was closed or could not be opened.
    LinkClosed {
        /// The target's VM.
        vm: Name,
        /// The process at the other end; `None` if it sent no message.
        incarnation: Option<Incarnation>,
    },
    /// Time has passed. Must occur at least four times per second.
    Tick,
}

/// A step that the entry node must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link in place of any earlier one to the same VM. Requests open on the earlier one can be settled over it.
    Connect {
        /// The target's VM.
        vm: Name,
        /// The address of the target node.
        address: SocketAddr,
    },
    /// Start giving the target new work.
    StartUse {
        /// The target's VM.
        vm: Name,
        /// The process to use.
        incarnation: Incarnation,
        /// The pool that the target belongs to.
        pool: Name,
        /// The data centre that the VM is in.
        data_centre: Name,
    },
    /// Stop giving the target new work. What it runs may finish.
    StopUse {
        /// The target's VM.
        vm: Name,
        /// The process that was in use.
        incarnation: Incarnation,
        /// Why the target gets no new work.
        reason: StopReason,
    },
    /// Close the link: at once if the target is dead, or once nothing runs on the link if the target was replaced.
    Disconnect {
        /// The target's VM.
        vm: Name,
        /// Why the link is closed: [`StopReason::Silent`] or [`StopReason::Replaced`].
        reason: StopReason,
    },
}

/// Why a target gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The target or the list announced that it is leaving.
    Leaving,
    /// Its heartbeats are missing, or its link makes no progress.
    Silent,
    /// Its link was closed or could not be opened.
    Closed,
    /// A new process runs at its address.
    Restarted,
    /// Other targets replace it in the subset.
    Replaced,
}
