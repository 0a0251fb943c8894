//! Decisions of a target node: slots, priority, fairness, preemption and batch credits.
//!
//! A target admits whatever comes and knows no priorities, so [`Admission`] is the one place before it where requests
//! wait, start and are refused. It is a plain state machine without clock, socket or task.

mod admission;
mod burst;
mod event;
mod history;
mod limits;
mod link;
mod link_clock;
mod options;
mod queue;

pub use admission::Admission;
pub use eel_types::RequestKey;
pub use event::{Action, Arrival, Event, Finish, ServiceLimits, Settlement};
pub use link::{LinkHello, LinkKey};
pub use link_clock::LinkClock;
pub use options::Options;
