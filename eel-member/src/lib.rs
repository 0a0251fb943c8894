//! Decides which targets an entry node links to, gives new work and drops.
//!
//! [`Membership`] combines the platform's VM list, which lags, with the messages on the entry node's links. It is a
//! plain state machine: events and the current time go in, [`Action`]s come out. The list proposes targets and can
//! declare them leaving, but a target that still responds is never dropped because the list lacks it.

mod assignment;
mod event;
mod flap;
mod incarnations;
mod member;
mod membership;
mod options;
mod subset;

pub use assignment::{Assignment, EntryNode};
pub use event::{Action, Event, StopReason};
pub use member::{Member, MemberState};
pub use membership::Membership;
pub use options::Options;
pub use subset::{Candidate, CandidateState, LinkLimits, choose_links};
