//! Keeps the quotas of tenants together with the other nodes.
//!
//! Each node has a token bucket for its equal share of a quota. Tokens move between nodes: a node grants tokens that it does
//! not need to peers that do. A token is at one node only, so that the sum holds whether or not nodes reach one another.

mod bucket;
mod members;
mod notice;
mod table;

pub use notice::{QuotaNotice, QuotaNoticeError, TenantLevel};
pub use table::{NodeQuota, QuotaPeer, QuotaRefusal, QuotaTable};
