//! The state of one target VM, as the entry node sees it.

use std::net::SocketAddr;

use eel_types::{Incarnation, ListedState, ListedVm, Name};

use crate::{
    Action, CandidateState, Options, StopReason, flap::FlapDamper, incarnations::Incarnations,
};

/// The state of a target's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Known from the list; no link is open or wanted.
    Known,
    /// A link is being opened; no message has arrived on it yet.
    Joining,
    /// A message arrived recently.
    Live,
    /// No message arrived recently; the target gets no new work.
    Suspect,
    /// Declared leaving by itself or by the list; the target gets no new work and finishes what it runs.
    Leaving,
    /// No message arrived for long, or the link was closed. Reconnects are tried with a growing delay.
    Dead,
}

/// A target VM and its link.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) vm: Name,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Name,
    pub(crate) pool: Name,
    /// Whether this entry node is one of those that must link to the target.
    pub(crate) is_assigned: bool,
    /// The VM's state on the last list; `None` if the list lacked the VM.
    pub(crate) listed: Option<ListedState>,
    pub(crate) state: MemberState,
    pub(crate) incarnations: Incarnations,
    /// The incarnation that gets new work; `None` if the target is not in use.
    pub(crate) in_use: Option<Incarnation>,
    /// When the last message arrived, or the link was requested if that is later.
    pub(crate) last_message_ms: u64,
    /// When the VM was last listed or linked.
    pub(crate) needed_ms: u64,
    pub(crate) reconnect_ms: u64,
    pub(crate) reconnect_delay_ms: u64,
    pub(crate) flap: FlapDamper,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, now_ms: u64) -> Self {
        Self {
            vm: listed.name,
            address: listed.address,
            data_centre: listed.data_centre,
            pool: listed.pool,
            is_assigned: false,
            listed: Some(listed.state),
            state: MemberState::Known,
            incarnations: Incarnations::default(),
            in_use: None,
            last_message_ms: now_ms,
            needed_ms: now_ms,
            reconnect_ms: now_ms,
            reconnect_delay_ms: 0,
            flap: FlapDamper::default(),
        }
    }

    /// Returns the VM's name.
    #[must_use]
    pub fn vm(&self) -> &Name {
        &self.vm
    }

    /// Returns the pool that the target belongs to.
    #[must_use]
    pub fn pool(&self) -> &Name {
        &self.pool
    }

    /// Returns the state of the target's link.
    #[must_use]
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Returns the current incarnation; `None` if the target sent no message yet.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnations.current()
    }

    /// Returns `true` if the target gets new work.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.in_use.is_some()
    }

    /// Returns `true` if a link is open or being opened.
    pub(crate) fn has_link(&self) -> bool {
        match self.state {
            MemberState::Joining
            | MemberState::Live
            | MemberState::Suspect
            | MemberState::Leaving => true,
            MemberState::Known | MemberState::Dead => false,
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.incarnations.is_leaving() || self.listed == Some(ListedState::Leaving)
    }

    /// Returns whether the target may get a link, and whether it responds.
    pub(crate) fn candidate_state(&self) -> CandidateState {
        let is_gone = self.listed.is_none() && !self.has_link();
        match self.state {
            _ if is_gone || self.listed == Some(ListedState::Leaving) => CandidateState::Excluded,
            MemberState::Live => CandidateState::Live,
            MemberState::Known | MemberState::Joining | MemberState::Suspect => {
                CandidateState::Unverified
            }
            // A new process may start at the same address, so a leaving target is tried like a dead one.
            MemberState::Leaving | MemberState::Dead => CandidateState::Dead,
        }
    }

    /// Requests a link.
    pub(crate) fn connect(&mut self, now_ms: u64) -> Action {
        self.state = MemberState::Joining;
        self.last_message_ms = now_ms;
        Action::Connect {
            vm: self.vm.clone(),
            address: self.address,
        }
    }

    /// Marks the target as dead and schedules the next reconnect.
    pub(crate) fn lose_link(&mut self, options: &Options, now_ms: u64) {
        self.state = MemberState::Dead;
        let doubled_ms = self.reconnect_delay_ms.saturating_mul(2);
        self.reconnect_delay_ms =
            doubled_ms.clamp(options.reconnect_first_ms, options.reconnect_max_ms);
        self.reconnect_ms = now_ms + self.reconnect_delay_ms;
    }

    /// Records a message of the current incarnation.
    pub(crate) fn record_message(&mut self, now_ms: u64) {
        self.last_message_ms = now_ms;
        self.reconnect_delay_ms = 0;
        self.state = if self.is_leaving() {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
    }

    /// Takes the target out of use, if it is in use.
    pub(crate) fn stop_use(&mut self, reason: StopReason, actions: &mut Vec<Action>) {
        if let Some(incarnation) = self.in_use.take() {
            actions.push(Action::StopUse {
                vm: self.vm.clone(),
                incarnation,
                reason,
            });
        }
    }

    /// Takes the target into use, if it is live and its flap damper allows it.
    pub(crate) fn start_use(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_ready = self.state == MemberState::Live && self.flap.allows_use(now_ms);
        let Some(incarnation) = self.incarnation().filter(|_| is_ready) else {
            return;
        };
        if self.in_use.is_some() {
            return;
        }
        self.in_use = Some(incarnation);
        actions.push(Action::StartUse {
            vm: self.vm.clone(),
            incarnation,
            pool: self.pool.clone(),
            data_centre: self.data_centre.clone(),
        });
    }
}
