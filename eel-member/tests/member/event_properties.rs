//! Properties of the membership state machine over generated sequences of events.
//!
//! They guard against new work for a process that is leaving, superseded or silent, and against a VM list that takes
//! responding targets out of use.

use std::collections::{BTreeMap, BTreeSet};

use eel_member::{Action, Event};
use eel_types::{Incarnation, ListedState, Name};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::fixture::{
    closed, feed, leaving, leaving_announced, list, membership, message, silent, vm,
};

const SEED: u64 = 20_261_204;
const VMS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
struct Step {
    wait_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = *g.choose(&VMS).expect("not empty");
        let incarnation = *g.choose(&[1, 2, 3, 4]).expect("not empty");
        let link = *g.choose(&[None, Some(incarnation)]).expect("not empty");
        let event = match u8::arbitrary(g) % 12 {
            0 => list(&[vm("a"), vm("b"), vm("c")]),
            1 => list(&[leaving(name), vm("b")]),
            2 => list(&[vm(name)]),
            3 => list(&[]),
            4 => leaving_announced(name, incarnation),
            5 => silent(name, incarnation),
            6 => closed(name, link),
            7 | 8 => Event::Tick,
            _ => message(name, incarnation),
        };
        let wait_ms = *g.choose(&[0, 10, 250, 500, 3_000]).expect("not empty");
        Self { wait_ms, event }
    }
}

fn check(property: fn(Vec<Step>) -> bool) {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(2_000)
        .quickcheck(property);
}

/// Runs the steps and passes each event with its actions to `visit`, which returns whether the actions are correct.
fn run(steps: Vec<Step>, mut visit: impl FnMut(&Event, &[Action]) -> bool) -> bool {
    let mut membership = membership();
    let mut now_ms = 0;
    membership.on_event(now_ms, list(&VMS.map(vm)));
    steps.into_iter().all(|step| {
        now_ms += step.wait_ms;
        let actions = membership.on_event(now_ms, step.event.clone());
        visit(&step.event, &actions)
    })
}

#[test]
fn leaving_stays_unused() {
    check(|steps| {
        let mut left: BTreeSet<(Name, Incarnation)> = BTreeSet::new();
        run(steps, |event, actions| {
            if let Event::LeavingAnnounced { vm, incarnation } = event {
                left.insert((vm.clone(), *incarnation));
            }
            actions.iter().all(|action| match action {
                Action::StartUse {
                    vm, incarnation, ..
                } => !left.contains(&(vm.clone(), *incarnation)),
                _ => true,
            })
        })
    });
}

#[test]
fn superseded_stays_unused() {
    check(|steps| {
        let mut last: BTreeMap<Name, Incarnation> = BTreeMap::new();
        let mut superseded: BTreeSet<(Name, Incarnation)> = BTreeSet::new();
        run(steps, |_, actions| {
            actions.iter().all(|action| match action {
                Action::StartUse {
                    vm, incarnation, ..
                } => {
                    if let Some(earlier) = last.insert(vm.clone(), *incarnation)
                        && earlier != *incarnation
                    {
                        superseded.insert((vm.clone(), earlier));
                    }
                    !superseded.contains(&(vm.clone(), *incarnation))
                }
                _ => true,
            })
        })
    });
}

#[test]
fn list_alone_drops_none() {
    check(|steps| {
        run(steps, |event, actions| {
            let marked: BTreeSet<&Name> = match event {
                Event::ListRead { vms } => vms
                    .iter()
                    .filter(|vm| vm.state == ListedState::Leaving)
                    .map(|vm| &vm.name)
                    .collect(),
                Event::ListFailed => BTreeSet::new(),
                _ => return true,
            };
            actions.iter().all(|action| match action {
                Action::StopUse { vm, .. } | Action::Disconnect { vm, .. } => marked.contains(vm),
                Action::Connect { .. } | Action::StartUse { .. } => true,
            })
        })
    });
}

#[test]
fn use_alternates() {
    check(|steps| {
        let mut used: BTreeMap<Name, Incarnation> = BTreeMap::new();
        run(steps, |_, actions| {
            actions.iter().all(|action| match action {
                Action::StartUse {
                    vm, incarnation, ..
                } => used.insert(vm.clone(), *incarnation).is_none(),
                Action::StopUse {
                    vm, incarnation, ..
                } => used.remove(vm) == Some(*incarnation),
                Action::Disconnect { vm, .. } => !used.contains_key(vm),
                Action::Connect { .. } => true,
            })
        })
    });
}

#[test]
fn silence_ends_use() {
    check(|steps| {
        let mut membership = membership();
        let mut now_ms = 0;
        membership.on_event(now_ms, list(&VMS.map(vm)));
        for step in steps {
            now_ms += step.wait_ms;
            membership.on_event(now_ms, step.event);
        }
        for _ in 0..8 {
            now_ms += 250; // 2 s in total, without a heartbeat
            feed(&mut membership, now_ms, Event::Tick);
        }
        membership.members().all(|member| !member.is_in_use())
    });
}
