//! Keeps the rates of requests that targets in need name, together with the other nodes.
//!
//! Every node counts all requests to such a target, its own and those that its peers tell it of, in one bucket, which is
//! empty when the limit becomes known. A request that several nodes send at the same moment is made up for by a longer
//! pause after it. How many of them that can be is bounded by the number of nodes that use the target.

mod limiter;
mod notice;
mod rate;
mod table;

pub use notice::{LimitNotice, LimitNoticeError, TargetUsage};
pub use rate::{NamedLimit, RateLimit};
pub use table::{LimitChange, LimitPeer, LimitTable};
