//! Route tables: which service answers a host and path, within which limits, and what may be repeated.

mod limits;
mod route;
mod table;

pub use limits::RequestLimits;
pub use route::{Route, RouteKind, Share};
pub use table::RouteTable;
