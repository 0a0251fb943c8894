//! Tells the current process of a VM from earlier ones by the incarnations in its messages.

use std::collections::VecDeque;

use eel_types::Incarnation;

/// Maximum number of superseded incarnations kept per VM.
const MAX_SUPERSEDED: usize = 32;

/// How the incarnation of a message relates to the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The current incarnation.
    Current,
    /// An incarnation that was not seen before, and is now the current one.
    New,
    /// An incarnation that a newer one has superseded, so the message is late.
    Superseded,
}

/// The current and the superseded incarnations of one VM.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    current: Option<Incarnation>,
    current_leaving: bool,
    superseded: VecDeque<Incarnation>,
}

impl Incarnations {
    pub fn current(&self) -> Option<Incarnation> {
        self.current
    }

    /// Returns whether the current incarnation was declared leaving, which is never revoked.
    pub fn is_leaving(&self) -> bool {
        self.current_leaving
    }

    pub fn set_leaving(&mut self) {
        self.current_leaving = true;
    }

    /// Records a message from `incarnation`.
    pub fn observe(&mut self, incarnation: Incarnation) -> Observed {
        if self.current == Some(incarnation) {
            return Observed::Current;
        }
        if self.superseded.contains(&incarnation) {
            return Observed::Superseded;
        }
        if let Some(earlier) = self.current.replace(incarnation) {
            self.superseded.push_back(earlier);
        }
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
        self.current_leaving = false;
        Observed::New
    }

    /// Returns whether a link event belongs to the current incarnation, or to a link without any message yet.
    pub fn concerns_current(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none_or(|incarnation| self.current == Some(incarnation))
    }
}
