//! Decides where requests and batch items run, on targets that several nodes share without a coordinator.
//!
//! Every node counts its own attempts in flight and sends the counts to its peers in small reports. A request goes
//! straight to a target that has a free slot by all counts. An online request may also take a slot that a batch item
//! holds; the item's node then cancels the item. Nothing here does I/O, and the current time is always an argument.
//!
//! [`Registry`] tracks the targets' announcements, [`TargetSelector`] their load and health, and [`Dispatcher`] queues
//! the requests that found no slot.

mod absent_services;
mod arrival;
mod dispatch;
mod entry;
mod fair_order;
mod health;
mod leaving;
mod limit;
mod pace;
mod peers;
mod queue;
mod quota;
mod registry;
mod rejection;
mod rendezvous;
mod report;
mod selector;
mod speed;
mod warm_up;

pub use absent_services::AbsentServices;
pub use arrival::{Arrival, Decision, Dequeued};
pub use dispatch::{Dispatcher, FIRST_OUTPUT_MS};
pub use entry::TargetEntry;
pub use fair_order::{FairOrder, Flow, PriorityRank};
pub use limit::{
    LimitChange, LimitNotice, LimitNoticeError, LimitPeer, LimitTable, NamedLimit, RateLimit,
    TargetUsage,
};
pub use pace::{MAX_REPORT_INTERVAL_MS, report_interval_ms};
pub use peers::{NodeEntry, Peers};
pub use queue::TicketKey;
pub use quota::{
    NodeQuota, QuotaNotice, QuotaNoticeError, QuotaPeer, QuotaRefusal, QuotaTable, TenantLevel,
};
pub use registry::{Registry, Removal};
pub use rejection::Rejection;
pub use report::{PeerReport, ReportError, ReportPart, TargetLoad, WaitingCount, stable_hash};
pub use selector::{AttemptOutcome, Capacity, Placement, TargetQuery, TargetSelector, WorkKind};
pub use speed::{Observation, Speed};
pub use warm_up::{WarmUpChange, WarmUpStep};

slotmap::new_key_type! {
    /// Identifies one incarnation of a target in a [`TargetSelector`].
    pub struct TargetKey;
}
