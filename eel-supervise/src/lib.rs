//! Supervisor trees: tasks with bounded, counted restarts.
//!
//! A [`Supervisor`] runs named children. A child that fails or panics is restarted after a pause; one that fails too
//! often within a window fails its supervisor, which is a child of the next supervisor up, until the process ends with an
//! error and the platform starts it anew.

mod restart;
mod shutdown;
mod supervisor;

pub use restart::{RestartDecision, RestartHistory, RestartPolicy};
pub use shutdown::Shutdown;
pub use supervisor::{ChildError, Error, RestartCounter, Supervisor};
