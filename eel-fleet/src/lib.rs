//! Decides where requests and batch items run, over targets that several nodes share without a coordinator.
//!
//! Every node counts what it has in flight itself and tells the others in small reports. A request goes straight to a
//! target that has a free slot by all counts; an online request may also take a slot that a batch item holds, which
//! the item's node then gives back. Nothing here does input or output, and the present time is always an argument.
//!
//! [`Registry`] follows the targets' own announcements, [`TargetSelector`] knows their load, and [`Dispatcher`] holds the
//! queue of requests that found no slot.

mod dispatch;
mod entry;
mod health;
mod lag;
mod peers;
mod queue;
mod registry;
mod report;
mod selector;

pub use dispatch::{Arrival, Decision, Dequeued, Dispatcher, Rejection};
pub use entry::TargetEntry;
pub use lag::Lag;
pub use peers::{NodeEntry, Peers};
pub use queue::TicketKey;
pub use registry::Registry;
pub use report::{PeerReport, ReportError, TargetLoad, WaitingCount, stable_hash};
pub use selector::{AttemptOutcome, TargetQuery, TargetSelector, WorkKind};

slotmap::new_key_type! {
    /// A target on a [`TargetSelector`].
    pub struct TargetKey;
}
