//! Refusals, which end requests without a complete response.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// The reason why a request ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The API key of the caller is missing or unknown.
    Unauthorized,
    /// The caller is not allowed to use the service.
    Forbidden,
    /// No record declares the service.
    UnknownService,
    /// The body of the request was not received in time.
    RequestTimeout,
    /// The body of the request exceeds the limit.
    TooLarge,
    /// The caller exceeds its rate limit or its limit of concurrent requests.
    CallerLimit,
    /// Every usable target of the service is full.
    Overloaded,
    /// No target of the service is usable.
    NoTarget,
    /// The process is shutting down and accepts no new requests.
    Leaving,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The request was cancelled by its caller, or preempted for an online request.
    Cancelled,
    /// The link to the target node, or the target itself, failed.
    TargetFailed,
    /// The response ended before its end marker.
    Truncated,
    /// The idempotency key or the attempt is already in use.
    Conflict,
    /// The request needs the key-value service, which is unavailable.
    StoreUnavailable,
    /// The prompt has a part that crashes targets.
    Quarantined,
}

impl Reason {
    /// Returns the reason as written in headers and bodies.
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
            Self::Quarantined => "quarantined",
        }
    }

    /// Returns the HTTP status of a response with this reason.
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
            | Self::StoreUnavailable
            | Self::Quarantined => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The final outcome of a request without a complete response: the verdict, the reason and the retry-after time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason why the request ended.
    pub reason: Reason,
    /// How long the caller should wait before a retry; `None` if a retry cannot help or no time is known.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run and never will.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller should retry.
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
