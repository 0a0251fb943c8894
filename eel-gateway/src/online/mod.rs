//! Online requests: a caller waits for the answer.

mod plan;
mod request;
mod run;
mod serve;
mod stream;

pub(crate) use serve::serve;
