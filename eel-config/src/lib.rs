//! Keeps a node on the newest configuration and never lets it go back.
//!
//! [`InForce`] decides which snapshots are taken; it is a plain state machine. [`Publisher`] shares the snapshot in force
//! within a process, whoever offers it: an entry node's [`follow`], which watches the key-value service, a peer, or the
//! entry nodes of a target node. [`Records`] holds the records as the store had them at one revision.

mod follow;
mod in_force;
mod publisher;
mod records;

pub use follow::{NoPeers, Options, SnapshotSource, follow, watch};
pub use in_force::{InForce, Offered};
pub use publisher::Publisher;
pub use records::{Applied, Records};
