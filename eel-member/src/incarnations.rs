//! Tells the present process of a VM from earlier ones.

use std::collections::VecDeque;

use eel_types::Incarnation;

const REMEMBERED: usize = 32;

/// How an incarnation relates to the ones heard before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The present one.
    Current,
    /// One that was never heard before; it is the present one now.
    New,
    /// One that has been succeeded; its messages are late.
    Old,
}

/// The incarnations of one VM.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    current: Option<Incarnation>,
    current_leaving: bool,
    succeeded: VecDeque<Incarnation>,
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
    pub fn hear(&mut self, incarnation: Incarnation) -> Heard {
        if self.current == Some(incarnation) {
            return Heard::Current;
        }
        if self.succeeded.contains(&incarnation) {
            return Heard::Old;
        }
        if let Some(earlier) = self.current.replace(incarnation) {
            self.succeeded.push_back(earlier);
        }
        if self.succeeded.len() > REMEMBERED {
            self.succeeded.pop_front();
        }
        self.current_leaving = false;
        Heard::New
    }

    /// Whether an event of a link concerns the present incarnation, or one not heard yet.
    pub fn concerns_current(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none_or(|incarnation| self.current == Some(incarnation))
    }
}
