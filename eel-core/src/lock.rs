//! The lock file: the store revisions that a directory of declarations is based on.

use std::{collections::BTreeMap, fs, io, path::Path};

use eel_record::RecordKey;
use eel_types::Revision;
use serde::{Deserialize, Serialize};

/// The name of the lock file in a directory of declarations; commit it to version control with them.
pub const LOCK_FILE: &str = "revisions.lock";

/// Maps each record to the store revision that its declaration is based on.
///
/// If the store holds a record at a different revision, someone else has changed it since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockFile {
    /// The base revision of each record.
    pub records: BTreeMap<RecordKey, Revision>,
}

impl LockFile {
    /// Loads the lock file of a directory, or returns an empty one if the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a valid lock file.
    pub fn load(directory: &Path) -> io::Result<Self> {
        match fs::read(directory.join(LOCK_FILE)) {
            Ok(text) => serde_json::from_slice(&text).map_err(io::Error::from),
            Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(Self::default()),
            Err(err) => Err(err),
        }
    }

    /// Replaces the lock file of a directory atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn save(&self, directory: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::from)?;
        let temporary = directory.join(format!("{LOCK_FILE}.new"));
        fs::write(&temporary, text + "\n")?;
        fs::rename(temporary, directory.join(LOCK_FILE))
    }
}
