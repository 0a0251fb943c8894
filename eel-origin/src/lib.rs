//! Tells at which software version of its service a stream began, also on a node that has just started.
//!
//! Each service has a default version in the store, see [`Defaults`]. A stream that begins at its default version needs no
//! record; every other one is recorded in the store before its caller gets the first event, see [`Journal`]. A node that a
//! caller asks to continue a stream reads all records, see [`Origins`]: a stream without a record began at the default
//! version. Nothing here does I/O, and the current time is always an argument.

mod defaults;
mod journal;
mod keys;
mod leftovers;
mod origins;
mod record;

pub use defaults::{DefaultChange, Defaults};
pub use journal::{Journal, JournalWrite};
pub use keys::{Keys, OriginKey};
pub use leftovers::Leftovers;
pub use origins::{Found, Origins};
pub use record::{Origin, OriginRecord, StoredDefault, StreamId};
