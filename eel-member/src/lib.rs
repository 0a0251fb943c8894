//! Decides which targets an entry node links to, uses and gives up.
//!
//! [`Membership`] joins the platform's lagging VM list with what the entry node hears on its links. It is a plain state
//! machine: events and the present time go in, [`Action`]s come out. The list proposes targets and can declare them
//! leaving; a target that still answers is never given up because the list lacks it.

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
