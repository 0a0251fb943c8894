//! Keeps the rates of requests that targets in need name, together with the other nodes.
//!
//! Every node counts all requests to such a target, its own and those that its peers report, in one bucket (GCRA), which is
//! empty when the limit becomes known. Requests that several nodes send at the same moment are a debt that delays the next
//! one. Only a subset of the nodes uses a target, which bounds the debt.

mod limiter;
mod notice;
mod rate;
mod table;

pub use notice::{LimitNotice, LimitNoticeError, TargetUsage};
pub use rate::{NamedLimit, RateLimit};
pub use table::{LimitChange, LimitPeer, LimitTable};
