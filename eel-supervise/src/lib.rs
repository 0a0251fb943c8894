//! Supervision trees: tasks with a bounded number of restarts, which are counted.
//!
//! A [`Supervisor`] runs named child tasks. A child that fails or panics is restarted after a pause. A child that fails
//! too often within a window fails its supervisor, which is a child of the next supervisor up. If the root supervisor
//! fails, the process ends with an error and the platform restarts it.

mod restart;
mod shutdown;
mod supervisor;

pub use restart::{RestartDecision, RestartHistory, RestartPolicy};
pub use shutdown::Shutdown;
pub use supervisor::{ChildError, Error, RestartCounter, Supervisor};
