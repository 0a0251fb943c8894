//! Checks that a stream continues where another one broke off.

use crate::event::{each, event_id, is_comment};

/// A response whose first event is not the next one of the stream that it should continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response does not continue the stream")]
pub struct NotContinued;

/// The point at which a stream has to continue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// The event before the next one; `None` if any event may come.
    after: Option<u64>,
}

impl Continuation {
    /// Creates the check of a response that continues a stream after the event `last_event_id`; `None` if it begins one.
    #[must_use]
    pub fn after(last_event_id: Option<u64>) -> Self {
        Self {
            after: last_event_id,
        }
    }

    /// Checks the next complete events of the response. Only the first one that is no comment is looked at: later ones are
    /// of the same run.
    ///
    /// # Errors
    ///
    /// [`NotContinued`] if it has another id than the next one, or none.
    pub fn check(&mut self, events: &[u8]) -> Result<(), NotContinued> {
        self.check_first(events, |_| true)
    }

    /// Like [`check`](Self::check) for a reader that passes over events that the stream had before.
    ///
    /// # Errors
    ///
    /// [`NotContinued`] if the first one that the stream did not have is not the next one.
    pub fn check_new(&mut self, events: &[u8]) -> Result<(), NotContinued> {
        let after = self.after;
        self.check_first(events, |id| id.is_none() || id > after)
    }

    fn check_first(
        &mut self,
        events: &[u8],
        counts: impl Fn(Option<u64>) -> bool,
    ) -> Result<(), NotContinued> {
        let Some(after) = self.after else {
            return Ok(());
        };
        let is_first = |event: &&[u8]| !is_comment(event) && counts(event_id(event));
        let Some(first) = each(events).find(is_first) else {
            return Ok(());
        };
        if event_id(first) != after.checked_add(1) {
            return Err(NotContinued);
        }
        self.after = None;
        Ok(())
    }
}
