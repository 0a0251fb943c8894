//! What goes into and comes out of the membership decisions.

use std::net::SocketAddr;

use eel_types::{Incarnation, ListedVm, Name};

/// Something that the entry node learnt about its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The VM list was read.
    ListRead {
        /// The VMs of the list.
        vms: Vec<ListedVm>,
    },
    /// The VM list could not be read.
    ListFailed,
    /// A message came from a target: a heartbeat or any other.
    MessageReceived {
        /// The target's VM.
        vm: Name,
        /// The process that sent the message.
        incarnation: Incarnation,
    },
    /// A target said that it is leaving.
    LeavingAnnounced {
        /// The target's VM.
        vm: Name,
        /// The process that sent the message.
        incarnation: Incarnation,
    },
    /// A link makes no progress although requests or heartbeats are due on it; it has been given up.
    LinkSilent {
        /// The target's VM.
        vm: Name,
        /// The process at the other end, if it was heard.
        incarnation: Option<Incarnation>,
    },
    /// A link was closed or could not be opened.
    LinkClosed {
        /// The target's VM.
        vm: Name,
        /// The process at the other end, if it was heard.
        incarnation: Option<Incarnation>,
    },
    /// Time has passed; due at least four times a second.
    Tick,
}

/// What the entry node is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a link, in place of any earlier one to the same VM; what is open on that one can be settled over it.
    Connect {
        /// The target's VM.
        vm: Name,
        /// The address of the target node.
        address: SocketAddr,
    },
    /// Give the target new work.
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
    /// Give the target no new work; what it runs may finish.
    StopUse {
        /// The target's VM.
        vm: Name,
        /// The process that was in use.
        incarnation: Incarnation,
        /// Why.
        reason: StopReason,
    },
    /// Close the link: at once if the target is dead, or as soon as nothing runs on it if it was replaced.
    Disconnect {
        /// The target's VM.
        vm: Name,
        /// Why: [`StopReason::Silent`] or [`StopReason::Replaced`].
        reason: StopReason,
    },
}

/// Why a target gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// It said that it is leaving, or the list says so.
    Leaving,
    /// Its heartbeats are missing or its link is silent.
    Silent,
    /// Its link was closed.
    Closed,
    /// Another process runs under its address.
    Restarted,
    /// Other targets have taken its place in the subset.
    Replaced,
}
