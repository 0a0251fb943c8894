//! Checks that a stream continues where another one broke off.

use crate::event::{each, event_id};

/// What a reader does with events that the stream had before it broke off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    /// It would pass them on once more, so that they do not continue the stream.
    #[default]
    Refused,
    /// It passes over them.
    PassedOver,
}

/// The point at which a stream has to continue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Continuation {
    /// The event before the next one; `None` if any event may come.
    after: Option<u64>,
    repeats: Repeats,
}

impl Continuation {
    pub(crate) fn new(after: Option<u64>, repeats: Repeats) -> Self {
        Self { after, repeats }
    }

    /// Returns whether the next complete events continue the stream. Only the first one that is not passed over is
    /// looked at: later ones are of the same run.
    pub(crate) fn admits(&mut self, events: &[u8]) -> bool {
        let Some(after) = self.after else {
            return true;
        };
        let is_passed_over = |id: Option<u64>| {
            self.repeats == Repeats::PassedOver && id.is_some_and(|id| id <= after)
        };
        let mut ids = each(events).map(event_id);
        let Some(first) = ids.find(|id| !is_passed_over(*id)) else {
            return true;
        };
        self.after = None;
        first.is_some() && first == after.checked_add(1)
    }
}
