//! The node's use of the platform's store: a watch on all keys, and its own entry under a lease.

mod apply;
mod follow;
mod membership;

pub(crate) use apply::expire_targets;
pub(crate) use follow::{follow, load_job, load_results};
pub(crate) use membership::keep_entry;
