//! Links to target nodes: kept alive, replaced when silent, and the attempts that travel on them.

mod attempt;
mod endpoints;
mod maintain;
mod session;
mod settle;

pub(crate) use attempt::{Attempt, Reply, ReplyPart};
pub(crate) use endpoints::Endpoints;
pub(crate) use maintain::{DisconnectReason, Identity, Link, LinkEvents, run};
pub(crate) use session::Session;
