//! The revisions that a directory of declarations is based on.

use std::{collections::BTreeMap, fs, io, path::Path};

use eel_record::RecordKey;
use eel_types::Revision;
use serde::{Deserialize, Serialize};

/// The name of the lock file in a directory of declarations; it belongs under version control with them.
pub const LOCK_FILE_NAME: &str = "revisions.lock";

/// For each record, the store's revision that the directory's declaration is based on.
///
/// A record that the store holds at another revision was changed by someone else in the meantime.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockFile {
    /// Revisions by kind and name.
    pub records: BTreeMap<RecordKey, Revision>,
}

impl LockFile {
    /// Loads the lock of a directory; empty if it has none.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a lock.
    pub fn load(directory: &Path) -> io::Result<Self> {
        match fs::read(directory.join(LOCK_FILE_NAME)) {
            Ok(text) => serde_json::from_slice(&text).map_err(io::Error::from),
            Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(Self::default()),
            Err(err) => Err(err),
        }
    }

    /// Replaces the lock of a directory, as a whole or not at all.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn save(&self, directory: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::from)?;
        let temporary = directory.join(format!("{LOCK_FILE_NAME}.new"));
        fs::write(&temporary, text + "\n")?;
        fs::rename(temporary, directory.join(LOCK_FILE_NAME))
    }
}
