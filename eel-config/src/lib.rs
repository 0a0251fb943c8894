//! Keeps a node on the newest configuration and never lets it go back.
//!
//! [`CurrentSnapshot`] decides which snapshots are taken; it is a plain state machine. [`Publisher`] shares the snapshot in force
//! within a process, whoever offers it: an entry node's [`follow`], which watches the key-value service, a peer, or the
//! entry nodes of a target node. [`Records`] holds the records as the store had them at one revision.

mod current;
mod follow;
mod publisher;
mod records;

pub use current::{CurrentSnapshot, OfferOutcome};
pub use follow::{NoPeers, Options, SnapshotSource, follow, watch};
pub use publisher::Publisher;
pub use records::{EventOutcome, Records};
