//! What a quarantine blocks.

/// What the suspects of a [`Quarantine`](crate::Quarantine) are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Parts of prompts that requests share. One request cannot tell its parts apart.
    #[default]
    Parts,
    /// Whole requests, which come again under new ids.
    Requests,
}

impl Scope {
    /// All scopes.
    pub const ALL: [Self; 2] = [Self::Parts, Self::Requests];

    /// Returns what begins a notice. A load report begins with the receiver's token, so that nodes which know no notices
    /// drop them.
    pub(crate) fn mark(self) -> u64 {
        match self {
            Self::Parts => u64::from_le_bytes(*b"eelcrash"),
            Self::Requests => u64::from_le_bytes(*b"eelagain"),
        }
    }
}
