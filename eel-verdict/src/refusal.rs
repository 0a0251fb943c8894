//! The final answer to a request that is given up on.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// Why a request ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The caller's key is missing or unknown.
    Unauthorized,
    /// The caller may not use this service.
    Forbidden,
    /// No record declares this service.
    UnknownService,
    /// The body did not come in time.
    RequestTimeout,
    /// The body is larger than the service accepts.
    TooLarge,
    /// The caller exceeds its rate or its number of concurrent requests.
    CallerLimit,
    /// Every usable target is full.
    Overloaded,
    /// No target of the service is usable.
    NoTarget,
    /// The process is shutting down and takes no new work.
    Leaving,
    /// The deadline passed.
    DeadlineExceeded,
    /// The request was cancelled, by its caller or to make room for an online request.
    Cancelled,
    /// The link to the target node, or the target itself, failed.
    TargetFailed,
    /// The answer ended before its end mark.
    Truncated,
    /// Another request holds the same idempotency key.
    Conflict,
    /// The key-value service cannot be reached, and the request needs it.
    StoreUnavailable,
}

impl Reason {
    /// Returns the reason as it stands in headers and bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownService => "unknown-service",
            Self::RequestTimeout => "request-timeout",
            Self::TooLarge => "too-large",
            Self::CallerLimit => "caller-limit",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no-target",
            Self::Leaving => "leaving",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::Cancelled => "cancelled",
            Self::TargetFailed => "target-failed",
            Self::Truncated => "truncated",
            Self::Conflict => "conflict",
            Self::StoreUnavailable => "store-unavailable",
        }
    }

    /// Returns the HTTP status of an answer with this reason.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownService => 404,
            Self::RequestTimeout => 408,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::CallerLimit => 429,
            Self::TargetFailed | Self::Truncated => 502,
            Self::Overloaded
            | Self::NoTarget
            | Self::Leaving
            | Self::Cancelled
            | Self::StoreUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A final answer without a result: the verdict, the reason and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request ended.
    pub reason: Reason,
    /// How long the caller should wait before it asks again, where asking again can help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that did not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Ends a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Adds the time after which the caller should ask again.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}
