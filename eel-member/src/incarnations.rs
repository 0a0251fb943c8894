//! Tells the present process of a VM from earlier ones.

use std::collections::VecDeque;

use eel_types::Incarnation;

const MAX_SUPERSEDED: usize = 32;

/// How an incarnation relates to the ones heard before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The present one.
    Current,
    /// One that was never heard before; it is the present one now.
    New,
    /// One that has been superseded; its messages are late.
    Superseded,
}

/// The incarnations of one VM.
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

    /// Whether the present incarnation was declared leaving; this is never taken back.
    pub fn is_leaving(&self) -> bool {
        self.current_leaving
    }

    pub fn set_leaving(&mut self) {
        self.current_leaving = true;
    }

    /// Takes note of a message from `incarnation`.
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

    /// Whether an event of a link concerns the present incarnation, or one not heard yet.
    pub fn concerns_current(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none_or(|incarnation| self.current == Some(incarnation))
    }
}
