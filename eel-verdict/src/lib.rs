//! The verdict on a request: whether it may have run, and what that allows.

mod refusal;
mod verdict;

pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
