//! Serves callers' requests: checks them, sends them to targets and writes the responses.

mod claimed;
mod completion;
mod guard;
mod handler;
mod intake;
mod request;
mod response;
mod run;

pub(crate) use completion::Completion;
pub(crate) use handler::router;
pub(crate) use intake::check_access;
pub(crate) use request::Request;
pub(crate) use run::run_once;
