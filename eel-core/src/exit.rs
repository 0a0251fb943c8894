//! Exit codes of the command-line tool.

/// The exit status of a command, for use in scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command failed and had no effect.
    Failure,
    /// Records or settings are invalid, or nothing was found; nothing was written.
    Invalid,
    /// The change conflicts with another operator's change; nothing was written.
    Conflict,
    /// The store did not respond; the change may have taken effect.
    Unknown,
    /// Earlier transactions of a large change took effect, a later one did not.
    Partial,
    /// The store holds the records, but they are not in force on every node yet.
    NotInForce,
}

impl Exit {
    /// Returns the process exit code. Code 1 also stands for invalid arguments.
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
