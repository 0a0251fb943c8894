//! Online requests, whose callers wait for the response.

mod attempts;
mod request;
mod run;
mod serve;
mod source;
mod stream;

pub(crate) use serve::serve;
