//! Route tables: which service gets the requests for a host and path, within which limits, and which requests may be
//! repeated.

mod limits;
mod route;
mod table;
mod tenant;

pub use limits::RequestLimits;
pub use route::{Route, RouteKind, Share};
pub use table::RouteTable;
pub use tenant::{MAX_KEY_BYTES, Tenant, TenantQuota, Tenants};
