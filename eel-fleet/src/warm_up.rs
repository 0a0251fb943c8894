//! Limits what a target gets that has just started or recovered, until its responses show that it keeps up.
//!
//! The window is the number of attempts that may be in flight at the target. It starts small, doubles with each response
//! in time, and halves with each slow response, failure or refusal. Nothing grows with time alone, since the time that a
//! target needs is not known.

use crate::TargetKey;

/// The part of a target's slots that it gets first: an eighth.
const FIRST_SHARE_DIVISOR: u32 = 8;
/// The ratio to the usual time, in thousandths, from which a response is slow. The fastest and the slowest targets of a
/// service differ by 2.7 times, each from the usual time by less than 2 times.
const SLOW_PER_1000: u64 = 2_000;
/// The number of failures in a row from which a target has to recover. A single one can be the request's fault.
pub const MIN_FAILURES: u32 = 2;
/// How long a window is kept of which no response has said anything: the other nodes use the target as far as they trust
/// it, and this node may have no request for it.
const MAX_UNTESTED_MS: u64 = 30_000;

/// The window of a target that has just started or recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    window: u32,
    first: u32,
    slots: u32,
    /// When the window was last changed.
    at_ms: u64,
}

/// Why a target begins to warm up, or that it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpStep {
    /// A new incarnation has appeared.
    Started,
    /// The target has failed several times in a row; its window counts from its next response on.
    Failed,
    /// The responses of the target have shown that it keeps up.
    Ended,
    /// This node has not sent the target anything for long that would tell.
    Untested,
}

/// A target that begins or ends to warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpChange {
    /// The target.
    pub key: TargetKey,
    /// What has happened.
    pub step: WarmUpStep,
}

impl WarmUpStep {
    /// Returns the step's name for the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Failed => "failed",
            Self::Ended => "ended",
            Self::Untested => "untested",
        }
    }
}

impl WarmUp {
    /// Begins the warm-up of a target with `slots`.
    pub fn new(now_ms: u64, slots: u32) -> Self {
        let first = (slots / FIRST_SHARE_DIVISOR).max(1);
        Self {
            window: first,
            first,
            slots,
            at_ms: now_ms,
        }
    }

    /// Returns whether another attempt may start beside `own` ones of this node and `total` ones of all `nodes`.
    ///
    /// All nodes see an idle target at once, and learn of one another's attempts later. `draw`, a number that differs
    /// between requests, therefore selects as many of them as the window's share of a node.
    pub fn admits(&self, own: u32, total: u32, nodes: u32, draw: u64) -> bool {
        let nodes = nodes.max(1);
        let is_drawn = draw % u64::from(nodes) < u64::from(self.window);
        is_drawn && total < self.window && own < self.window.div_ceil(nodes)
    }

    /// Records a response that took `ratio_per_1000` of the usual time; `None` if that is not known.
    pub fn on_response(&mut self, now_ms: u64, ratio_per_1000: Option<u64>) {
        if ratio_per_1000.is_some_and(|it| it > SLOW_PER_1000) {
            self.on_bad(now_ms);
        } else {
            self.window = self.window.saturating_mul(2);
            self.at_ms = now_ms;
        }
    }

    /// Records a slow response, a failure or a refusal.
    pub fn on_bad(&mut self, now_ms: u64) {
        self.window = (self.window / 2).max(self.first);
        self.at_ms = now_ms;
    }

    /// Returns how the warm-up has ended; `None` while it goes on.
    pub fn end(&self, now_ms: u64) -> Option<WarmUpStep> {
        if self.window >= self.slots {
            Some(WarmUpStep::Ended)
        } else if now_ms >= self.at_ms + MAX_UNTESTED_MS {
            Some(WarmUpStep::Untested)
        } else {
            None
        }
    }
}
