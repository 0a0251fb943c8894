//! Keeps the newest configuration in force on a node and never reverts to an older one.
//!
//! [`CurrentSnapshot`] is the state machine that decides which snapshots are accepted. [`Publisher`] shares the
//! snapshot in force within a process. An entry node offers it snapshots from [`follow`], which watches the key-value
//! service, or from a peer; a target node those that entry nodes send. [`Records`] holds the records of the store at
//! one revision.

mod current;
mod follow;
mod publisher;
mod records;

pub use current::{CurrentSnapshot, OfferOutcome};
pub use follow::{NoPeers, Options, SnapshotSource, follow, watch};
pub use publisher::Publisher;
pub use records::{EventOutcome, Records};
