//! Verdicts and refusals: whether a request may have run, and why it ended without a complete response.

mod refusal;
mod verdict;

pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
