//! Route tables: which service answers a host and path, within which limits, and what may be repeated.

mod limits;
mod route;
mod service;
mod table;

pub use limits::CallerLimits;
pub use route::{Route, RouteKind, Share};
pub use service::ServiceSpec;
pub use table::RouteTable;
