//! Exit codes of the command line.

/// What a command's outcome means to a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was asked.
    Success,
    /// The command could not be carried out, and had no effect.
    Failure,
    /// Records or settings are invalid; nothing was written.
    Invalid,
    /// Another operator's change stands in the way; nothing was written.
    Conflict,
    /// The store gave no answer; the change may have taken effect.
    Unknown,
    /// Some transactions of a large change took effect, and a later one did not.
    Partial,
    /// The records are accepted, but not in force on every node yet.
    NotInForce,
}

impl Exit {
    /// Returns the process's exit code. Code 1 also stands for wrong arguments.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::Unknown => 4,
            Self::Partial => 5,
            Self::NotInForce => 6,
        }
    }
}
