//! Constructors of events, and a short text form of actions.

use std::net::{Ipv4Addr, SocketAddr};

use eel_member::{Action, Event, Membership, Options};
use eel_types::{Incarnation, ListedState, ListedVm, Name};

pub fn membership() -> Membership {
    Membership::new(Options::new("entry-1".into(), "north-1".into()))
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a live VM in the entry node's data centre.
pub fn vm(name: &str) -> ListedVm {
    ListedVm {
        name: name.into(),
        address: address(1),
        data_centre: "north-1".into(),
        pool: "scribe".into(),
        state: ListedState::Live,
    }
}

pub fn leaving(name: &str) -> ListedVm {
    ListedVm {
        state: ListedState::Leaving,
        ..vm(name)
    }
}

pub fn list(vms: &[ListedVm]) -> Event {
    Event::ListRead { vms: vms.to_vec() }
}

pub fn message(vm: &str, incarnation: u64) -> Event {
    Event::MessageReceived {
        vm: vm.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub fn leaving_announced(vm: &str, incarnation: u64) -> Event {
    Event::LeavingAnnounced {
        vm: vm.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub fn silent(vm: &str, incarnation: u64) -> Event {
    Event::LinkSilent {
        vm: vm.into(),
        incarnation: Some(Incarnation(incarnation)),
    }
}

pub fn closed(vm: &str, incarnation: Option<u64>) -> Event {
    Event::LinkClosed {
        vm: vm.into(),
        incarnation: incarnation.map(Incarnation),
    }
}

/// Formats an action as one short line, such as `use a 1`.
pub fn short(action: &Action) -> String {
    match action {
        Action::Connect { vm, address } => format!("connect {vm} {}", address.port()),
        Action::StartUse {
            vm, incarnation, ..
        } => format!("use {vm} {}", incarnation.0),
        Action::StopUse {
            vm,
            incarnation,
            reason,
        } => format!("stop {vm} {} {reason:?}", incarnation.0),
        Action::Disconnect { vm, reason } => format!("disconnect {vm} {reason:?}"),
    }
}

/// Feeds one event and returns the actions in short form.
pub fn feed(membership: &mut Membership, now_ms: u64, event: Event) -> Vec<String> {
    let actions = membership.on_event(now_ms, event);
    actions.iter().map(short).collect()
}

pub fn is_in_use(membership: &Membership, vm: &str) -> bool {
    let member = membership.member(&Name::from(vm));
    member.is_some_and(eel_member::Member::is_in_use)
}
