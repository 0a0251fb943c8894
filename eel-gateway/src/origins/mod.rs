//! Keeps each stream at the software version that began it, whichever node its caller asks to continue it.

mod begin;
mod defaults;
mod journal;
mod resume;

pub(crate) use begin::{begin, required_version};
pub(crate) use defaults::{keep_defaults, on_put};
pub(crate) use journal::write_journal;
pub(crate) use resume::version_of;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use eel_origin::{Defaults, Journal, Keys, Leftovers, Origins};
use eel_types::Name;
use tokio::sync::{Notify, watch};

use crate::context::Context;

/// How long a stream may still be resumed after its last attempt was due to end, in ms: its target may serve for some
/// seconds after its entry is gone, and its caller for some seconds after its connection broke.
const RESUME_GRACE_MS: u64 = 20_000;

/// Returns how long a stream may be resumed after its start.
fn retention_ms(context: &Context) -> u64 {
    let table = context.table.load();
    let longest_ms = table.as_ref().map_or(0, |it| it.longest_stream_ms());
    RESUME_GRACE_MS + 2 * longest_ms
}

/// What the node knows of the origins of streams.
pub(crate) struct OriginState {
    pub(super) keys: Keys,
    journal: Mutex<Journal>,
    defaults: Mutex<Defaults>,
    /// Notified when the journal has a stream to write.
    pub(super) added: Notify,
    /// The number of the last stream of the journal that is in the store.
    pub(super) stored: watch::Sender<u64>,
    /// The last read of all records, and when it started.
    pub(super) last_read: tokio::sync::Mutex<Option<(Instant, Arc<Origins>)>>,
    /// The records that the last read found.
    leftovers: Mutex<Leftovers>,
}

impl OriginState {
    pub(crate) fn new(prefix: Name) -> Self {
        Self {
            keys: Keys::new(prefix),
            journal: Mutex::default(),
            defaults: Mutex::default(),
            added: Notify::new(),
            stored: watch::channel(0).0,
            last_read: tokio::sync::Mutex::default(),
            leftovers: Mutex::default(),
        }
    }

    pub(super) fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn defaults(&self) -> MutexGuard<'_, Defaults> {
        self.defaults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn leftovers(&self) -> MutexGuard<'_, Leftovers> {
        self.leftovers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether `key` is one of origins.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.keys.parse(key).is_some()
    }

    /// Returns the default version of a service; `None` if there is none yet.
    pub(super) fn default_version(&self, service: &str) -> Option<Name> {
        self.defaults().version(service).cloned()
    }

    /// Returns the common prefix of the keys of default versions.
    pub(crate) fn all_defaults(&self) -> String {
        self.keys.all_defaults()
    }
}
