//! Decisions of an entry node: target choice, retries, breakers, caller and service limits.
//!
//! Every type here is a plain state machine. The current time is an argument, in milliseconds on a monotonic clock, and
//! randomness comes from a generator that is passed in, so the same events with the same seed give the same decisions.

mod attempts;
mod breaker;
mod bucket;
mod caller;
mod choose;
mod load;
mod outlier;
mod policy;
mod pool;
mod prefix;
mod retry;
mod target;

pub use attempts::{Attempts, FailedAttempt, RetryDecision, RetryOptions};
pub use breaker::{Breaker, BreakerOptions, BreakerState};
pub use bucket::TokenBucket;
pub use caller::{CallerLimit, CallerLimits, PermitKey};
pub use choose::TargetQuery;
pub use load::PoolLoad;
pub use outlier::OutlierOptions;
pub use policy::Policy;
pub use pool::{InFlightKey, Pool, PoolOptions, TargetKey};
pub use retry::{RetryBudget, RetryBudgetOptions};
pub use target::{AttemptOutcome, TargetInfo, TargetStatus};
