//! Callers' requests: taken in, sent to a target, answered.

mod answer;
mod completion;
mod guard;
mod handler;
mod intake;
mod request;
mod run;

pub(crate) use handler::router;
