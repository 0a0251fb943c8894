//! Links to target nodes: opens them, replaces silent connections and sends attempts over them.

mod attempt;
mod endpoints;
mod maintain;
mod session;
mod settle;

pub(crate) use attempt::{Attempt, Reply, ReplyPart};
pub(crate) use endpoints::Endpoints;
pub(crate) use maintain::{DisconnectReason, Identity, Link, LinkEvents, run};
pub(crate) use session::Session;
