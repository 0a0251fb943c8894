//! Feeds single events to the state machine.

use eel_admit::{
    Action, Admission, Arrival, Event, Finish, LinkHello, LinkKey, Options, RequestKey,
    ServiceLimits,
};
use eel_types::{Attempt, Class, Incarnation, Name, RequestId};

/// A state machine, its current time, and the actions of the last event.
pub struct Driver {
    pub admission: Admission,
    pub now_ms: u64,
    pub actions: Vec<Action>,
}

/// Builds the key of the first attempt of request `id`.
pub fn key(id: u128) -> RequestKey {
    RequestKey {
        id: RequestId(id),
        attempt: Attempt(1),
    }
}

/// Builds options with `slots` slots and `queue` places for online requests.
pub fn options(slots: u32, queue: u32) -> Options {
    Options {
        limits: ServiceLimits {
            slots,
            queue,
            ..ServiceLimits::default()
        },
        ..Options::default()
    }
}

/// Builds a repeatable arrival whose deadline is at ten seconds.
pub fn arrival(id: u128, link: LinkKey, class: Class) -> Arrival {
    Arrival {
        key: key(id),
        link,
        caller: Name::from("caller"),
        class,
        deadline_ms: 10_000,
        repeatable: true,
    }
}

impl Driver {
    pub fn new(options: Options) -> Self {
        Self {
            admission: Admission::new(options),
            now_ms: 0,
            actions: Vec::new(),
        }
    }

    pub fn open(&mut self, generation: u64, supersedes: bool) -> LinkKey {
        self.actions.clear();
        let hello = LinkHello {
            entry: Name::from("entry"),
            incarnation: Incarnation(1),
            generation,
            supersedes,
        };
        self.admission
            .open_link(self.now_ms, hello, &mut self.actions)
    }

    pub fn event(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.admission
            .on_event(self.now_ms, event, &mut self.actions);
        &self.actions
    }

    pub fn arrive(&mut self, id: u128, link: LinkKey, class: Class) -> &[Action] {
        self.event(Event::Arrived(arrival(id, link, class)))
    }

    pub fn finish(&mut self, id: u128, first_byte_ms: u64) -> &[Action] {
        self.event(Event::Finished(Finish {
            key: key(id),
            first_byte_ms: Some(first_byte_ms),
            between_tokens_ms: None,
        }))
    }
}
