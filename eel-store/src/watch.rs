//! Options and events of watches.

use std::time::Instant;

use eel_types::Revision;

use crate::KeyValuePair;

/// Options of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchOptions {
    /// The prefix of the keys to watch.
    pub prefix: String,
    /// The first revision to deliver; `None` for changes from now on.
    pub from_revision: Option<Revision>,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was created or changed.
    Put(KeyValuePair),
    /// A key was deleted.
    Delete {
        /// The deleted key.
        key: String,
        /// The revision of the deletion.
        mod_revision: Revision,
    },
    /// All changes up to and including `revision` have been delivered; follows the changes of each revision.
    Progress {
        /// The last revision that was delivered completely.
        revision: Revision,
        /// When the store was asked for these changes: all changes made before then have been delivered. `None` if the
        /// store sends changes without being asked for each.
        asked_at: Option<Instant>,
    },
    /// Changes that were not delivered yet have been compacted. The watch has ended: read the range, then watch again.
    Compacted {
        /// The oldest revision that the store still holds.
        compact_revision: Revision,
    },
}
