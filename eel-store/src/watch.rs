//! Watches of the key-value service.

use eel_types::Revision;

use crate::KeyValuePair;

/// What to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchOptions {
    /// The prefix of the keys.
    pub prefix: String,
    /// The first revision whose changes are wanted; `None` for changes from now on.
    pub from_revision: Option<Revision>,
}

/// One event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValuePair),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision that deleted it.
        mod_revision: Revision,
    },
    /// All changes up to and including `revision` have been seen; follows the changes of each revision.
    Progress {
        /// The revision that is complete.
        revision: Revision,
    },
    /// Changes that had not been seen yet were compacted away. The watch has ended: read the range, then watch again.
    Compacted {
        /// The oldest revision still held.
        compact_revision: Revision,
    },
}
