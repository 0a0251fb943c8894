//! Identifiers and small enums that every crate of the workspace shares.

mod class;
mod clock;
mod id;
mod load;
mod name;
mod vm;

pub use class::Class;
pub use clock::Clock;
pub use id::{Attempt, Incarnation, RequestId, RequestKey, Revision};
pub use load::LoadReport;
pub use name::Name;
