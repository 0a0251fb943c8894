//! Admission control of a target node: slots, priorities, fairness, preemption and batch credits.
//!
//! A target accepts every request and knows no priorities, so [`Admission`] alone decides which requests are queued,
//! started or refused before they reach it. It is a state machine without I/O: it has no clock, socket or task.

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
