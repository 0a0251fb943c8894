//! Identifiers and small types that the crates of the workspace share.

mod class;
mod clock;
mod hex;
mod id;
mod listed_vm;
mod load;
mod name;
mod status;

pub use class::Class;
pub use clock::Clock;
pub use hex::to_hex;
pub use id::{Attempt, Incarnation, RequestId, RequestKey, Revision};
pub use listed_vm::{ListedState, ListedVm};
pub use load::LoadReport;
pub use name::Name;
pub use status::is_final_status;
