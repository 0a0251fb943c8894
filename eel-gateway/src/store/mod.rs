//! What the node keeps with the platform's store: a watch on everything, and its own entry under a lease.

mod apply;
mod follow;
mod membership;

pub(crate) use follow::{follow, load_job};
pub(crate) use membership::keep_entry;
