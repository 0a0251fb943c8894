//! The state machine over all targets of an entry node.

use std::collections::{BTreeMap, BTreeSet};

use eel_types::{Incarnation, ListedState, ListedVm, Name};
use slotmap::SlotMap;

use crate::{
    Action, Assignment, Candidate, CandidateState, EntryNode, Event, Member, MemberState, Options,
    StopReason, choose_links, incarnations::Observed,
};

slotmap::new_key_type! {
    struct MemberId;
}

/// All targets that an entry node knows, with the subset of them that it links to.
#[derive(Clone, Debug)]
pub struct Membership {
    options: Options,
    members: SlotMap<MemberId, Member>,
    by_vm: BTreeMap<Name, MemberId>,
    assignment: Assignment,
    /// The members of the chosen subset.
    subset: BTreeSet<MemberId>,
    /// Whether the subset must be chosen again.
    is_subset_stale: bool,
    late_messages: u64,
}

impl Membership {
    /// Creates a membership without any members.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            members: SlotMap::with_key(),
            by_vm: BTreeMap::new(),
            assignment: Assignment::default(),
            subset: BTreeSet::new(),
            is_subset_stale: false,
            late_messages: 0,
        }
    }

    /// Handles one event and returns the resulting actions, in the order in which to run them.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::ListRead { vms } => self.read_list(now_ms, vms, &mut actions),
            Event::ListFailed => {}
            Event::MessageReceived { vm, incarnation } => {
                self.on_member(&vm, |this, id| {
                    this.on_message(now_ms, id, incarnation, &mut actions);
                });
            }
            Event::LeavingAnnounced { vm, incarnation } => {
                self.on_member(&vm, |this, id| {
                    this.on_leaving(now_ms, id, incarnation, &mut actions);
                });
            }
            Event::LinkSilent { vm, incarnation } => {
                self.on_member(&vm, |this, id| {
                    this.replace_silent(now_ms, id, incarnation, &mut actions);
                });
            }
            Event::LinkClosed { vm, incarnation } => {
                self.on_member(&vm, |this, id| {
                    this.close(now_ms, id, incarnation, &mut actions);
                });
            }
            Event::Tick => self.tick(now_ms, &mut actions),
        }
        if self.is_subset_stale {
            self.is_subset_stale = false;
            self.choose_subset(now_ms, &mut actions);
        }
        actions
    }

    /// Returns the member for `vm`; `None` if the VM is unknown.
    #[must_use]
    pub fn member(&self, vm: &Name) -> Option<&Member> {
        self.members.get(*self.by_vm.get(vm)?)
    }

    /// Returns all members, sorted by VM name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_vm.values().map(|id| &self.members[*id])
    }

    /// Returns the number of messages from incarnations that were already superseded.
    #[must_use]
    pub fn late_messages(&self) -> u64 {
        self.late_messages
    }

    /// Applies `change` to a known VM, and marks the subset as stale if the change affects it.
    fn on_member(&mut self, vm: &Name, change: impl FnOnce(&mut Self, MemberId)) {
        let Some(id) = self.by_vm.get(vm).copied() else {
            return;
        };
        let before = self.members[id].candidate_state();
        change(self, id);
        self.is_subset_stale |= self.members[id].candidate_state() != before;
    }

    /// Applies a VM list. An empty list is ignored as implausible.
    fn read_list(&mut self, now_ms: u64, vms: Vec<ListedVm>, actions: &mut Vec<Action>) {
        if vms.is_empty() {
            return;
        }
        let entry_pool = &self.options.entry_pool;
        let (entries, targets): (Vec<_>, Vec<_>) =
            vms.into_iter().partition(|vm| vm.pool == *entry_pool);
        let listed: BTreeMap<Name, ListedVm> = targets
            .into_iter()
            .map(|vm| (vm.name.clone(), vm))
            .collect();
        self.read_entries(entries);
        let ids: Vec<_> = self.by_vm.values().copied().collect();
        for id in ids {
            let before = self.members[id].candidate_state();
            let vm = listed.get(&self.members[id].vm);
            self.apply_listed(now_ms, id, vm, actions);
            self.is_subset_stale |= self.members[id].candidate_state() != before;
        }
        for (name, vm) in listed {
            if !self.by_vm.contains_key(&name) {
                let id = self.members.insert(Member::new(vm, now_ms));
                self.by_vm.insert(name, id);
                self.assign(id);
                self.is_subset_stale = true;
            }
        }
    }

    /// Assigns the targets to the entry nodes that the list shows as live, and to this one. If it shows none as live,
    /// the assignment stays as it is.
    fn read_entries(&mut self, listed: Vec<ListedVm>) {
        let mut entries: Vec<_> = listed
            .into_iter()
            .filter(|vm| vm.state == ListedState::Live)
            .map(|vm| EntryNode {
                vm: vm.name,
                data_centre: vm.data_centre,
            })
            .collect();
        if entries.is_empty() {
            return;
        }
        let Options {
            vm, data_centre, ..
        } = &self.options;
        entries.retain(|entry| entry.vm != *vm);
        entries.push(EntryNode {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
        });
        let assignment = Assignment::new(entries);
        if assignment == self.assignment {
            return;
        }
        self.assignment = assignment;
        let ids: Vec<_> = self.by_vm.values().copied().collect();
        for id in ids {
            self.assign(id);
        }
        self.is_subset_stale = true;
    }

    fn assign(&mut self, id: MemberId) {
        let member = &mut self.members[id];
        let count = self.options.limits.entries_per_target;
        member.is_assigned = self
            .assignment
            .entries_of(&member.vm, &member.data_centre, count)
            .iter()
            .any(|entry| entry.vm == self.options.vm);
    }

    fn apply_listed(
        &mut self,
        now_ms: u64,
        id: MemberId,
        listed: Option<&ListedVm>,
        actions: &mut Vec<Action>,
    ) {
        let member = &mut self.members[id];
        member.listed = listed.map(|vm| vm.state);
        let Some(vm) = listed else { return };
        member.needed_ms = now_ms;
        match member.state {
            // The list lags, so a responding target keeps the address of its link.
            MemberState::Live | MemberState::Suspect | MemberState::Leaving => {}
            MemberState::Known | MemberState::Joining | MemberState::Dead => {
                let has_moved = member.address != vm.address;
                member.address = vm.address;
                member.pool = vm.pool.clone();
                member.data_centre = vm.data_centre.clone();
                if has_moved && member.state == MemberState::Joining {
                    actions.push(member.connect(now_ms));
                }
            }
        }
        let is_linked = matches!(member.state, MemberState::Live | MemberState::Suspect);
        if vm.state == ListedState::Leaving && is_linked {
            member.state = MemberState::Leaving;
            if member.is_in_use() {
                member.flap.on_failure(&self.options, now_ms); // dampens a list that flips between leaving and live
            }
            member.stop_use(StopReason::Leaving, actions);
        }
    }

    fn on_message(
        &mut self,
        now_ms: u64,
        id: MemberId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now_ms, id, incarnation, actions) {
            return;
        }
        let member = &mut self.members[id];
        if member.has_link() {
            member.record_message(now_ms);
            member.start_use(now_ms, actions);
        }
    }

    fn on_leaving(
        &mut self,
        now_ms: u64,
        id: MemberId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if !self.observe_incarnation(now_ms, id, incarnation, actions) {
            return;
        }
        let member = &mut self.members[id];
        member.incarnations.set_leaving();
        member.stop_use(StopReason::Leaving, actions);
        if member.has_link() {
            member.record_message(now_ms);
        }
    }

    /// Makes `incarnation` the current one; returns `false` if it was superseded before.
    fn observe_incarnation(
        &mut self,
        now_ms: u64,
        id: MemberId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) -> bool {
        let member = &mut self.members[id];
        match member.incarnations.observe(incarnation) {
            Observed::Current => {}
            Observed::New => {
                if member.is_in_use() {
                    member.flap.on_failure(&self.options, now_ms);
                }
                member.stop_use(StopReason::Restarted, actions);
            }
            Observed::Superseded => {
                self.late_messages += 1;
                return false;
            }
        }
        true
    }

    /// Opens a new link in place of a silent one, over which the open requests can be settled.
    fn replace_silent(
        &mut self,
        now_ms: u64,
        id: MemberId,
        incarnation: Option<Incarnation>,
        actions: &mut Vec<Action>,
    ) {
        let member = &mut self.members[id];
        if member.has_link() && member.incarnations.concerns_current(incarnation) {
            self.fail(now_ms, id, StopReason::Silent, actions);
            actions.push(self.members[id].connect(now_ms));
        }
    }

    fn close(
        &mut self,
        now_ms: u64,
        id: MemberId,
        incarnation: Option<Incarnation>,
        actions: &mut Vec<Action>,
    ) {
        let member = &mut self.members[id];
        if member.has_link() && member.incarnations.concerns_current(incarnation) {
            member.lose_link(&self.options, now_ms);
            self.fail(now_ms, id, StopReason::Closed, actions);
        }
    }

    /// Takes a target out of use after a failure.
    fn fail(&mut self, now_ms: u64, id: MemberId, reason: StopReason, actions: &mut Vec<Action>) {
        let member = &mut self.members[id];
        if member.is_in_use() {
            member.flap.on_failure(&self.options, now_ms);
        }
        member.stop_use(reason, actions);
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let ids: Vec<_> = self.by_vm.values().copied().collect();
        for id in ids {
            let before = self.members[id].candidate_state();
            self.check_heartbeat(now_ms, id, actions);
            self.retry(now_ms, id, actions);
            self.members[id].start_use(now_ms, actions);
            self.is_subset_stale |= self.members[id].candidate_state() != before;
        }
        self.forget(now_ms);
    }

    fn check_heartbeat(&mut self, now_ms: u64, id: MemberId, actions: &mut Vec<Action>) {
        let member = &mut self.members[id];
        if !member.has_link() {
            return;
        }
        member.needed_ms = now_ms;
        let silent_ms = now_ms.saturating_sub(member.last_message_ms);
        if silent_ms >= self.options.dead_after_ms {
            let vm = member.vm.clone();
            member.lose_link(&self.options, now_ms);
            self.fail(now_ms, id, StopReason::Silent, actions);
            let reason = StopReason::Silent;
            actions.push(Action::Disconnect { vm, reason });
        } else if silent_ms >= self.options.suspect_after_ms && member.state == MemberState::Live {
            member.state = MemberState::Suspect;
            self.fail(now_ms, id, StopReason::Silent, actions);
        }
    }

    /// Reconnects to a dead target, or stops trying if the subset no longer contains it.
    fn retry(&mut self, now_ms: u64, id: MemberId, actions: &mut Vec<Action>) {
        let is_in_subset = self.subset.contains(&id);
        let member = &mut self.members[id];
        if member.state != MemberState::Dead || now_ms < member.reconnect_ms {
            return;
        }
        if is_in_subset {
            actions.push(member.connect(now_ms));
        } else {
            member.state = MemberState::Known;
        }
    }

    fn forget(&mut self, now_ms: u64) {
        let forget_after_ms = self.options.forget_after_ms;
        self.members.retain(|_, member| {
            let unneeded_ms = now_ms.saturating_sub(member.needed_ms);
            member.listed.is_some() || member.has_link() || unneeded_ms < forget_after_ms
        });
        let members = &self.members;
        self.by_vm.retain(|_, id| members.contains_key(*id));
        self.subset.retain(|id| members.contains_key(*id));
    }

    /// Chooses the subset of each pool, opens its missing links and closes the links that it replaces.
    fn choose_subset(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let mut pools: BTreeMap<Name, Vec<MemberId>> = BTreeMap::new();
        for id in self.by_vm.values() {
            let pool = self.members[*id].pool.clone();
            pools.entry(pool).or_default().push(*id);
        }
        let links = self.options.limits.per_pool(pools.len());
        self.subset.clear();
        for ids in pools.values() {
            let chosen = self.choose_in_pool(ids, links);
            self.subset.extend(&chosen);
            self.open_links(now_ms, &chosen, actions);
            self.close_replaced(ids, &chosen, actions);
        }
    }

    fn choose_in_pool(&self, ids: &[MemberId], links: usize) -> BTreeSet<MemberId> {
        let candidate = |id: &MemberId| {
            let member = &self.members[*id];
            Candidate {
                vm: &member.vm,
                data_centre: &member.data_centre,
                state: member.candidate_state(),
                is_assigned: member.is_assigned,
            }
        };
        let candidates: Vec<_> = ids.iter().map(candidate).collect();
        let Options {
            vm,
            data_centre,
            limits,
            ..
        } = &self.options;
        choose_links(vm, data_centre, &candidates, links, limits.remote_percent)
            .into_iter()
            .map(|position| ids[position])
            .collect()
    }

    fn open_links(&mut self, now_ms: u64, chosen: &BTreeSet<MemberId>, actions: &mut Vec<Action>) {
        for id in chosen {
            let member = &mut self.members[*id];
            if member.state == MemberState::Known {
                actions.push(member.connect(now_ms));
            }
        }
    }

    /// Closes replaced links, once every member of the subset that is not dead has sent a message.
    fn close_replaced(
        &mut self,
        ids: &[MemberId],
        chosen: &BTreeSet<MemberId>,
        actions: &mut Vec<Action>,
    ) {
        let is_verified_or_dead = |id: &MemberId| {
            let candidate_state = self.members[*id].candidate_state();
            matches!(candidate_state, CandidateState::Live | CandidateState::Dead)
        };
        if !chosen.iter().all(is_verified_or_dead) {
            return;
        }
        for id in ids.iter().filter(|id| !chosen.contains(id)) {
            let member = &mut self.members[*id];
            if member.has_link() && member.state != MemberState::Leaving {
                member.state = MemberState::Known;
                let vm = member.vm.clone();
                let reason = StopReason::Replaced;
                member.stop_use(reason, actions);
                actions.push(Action::Disconnect { vm, reason });
            }
        }
    }
}
