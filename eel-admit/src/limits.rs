//! Adapts the number of requests that may run concurrently to the latency objectives.

use crate::{Finish, ServiceLimits};

/// Samples that complete a window.
const MAX_WINDOW_SAMPLES: u32 = 20;
/// The time after which a window is complete with any number of samples.
const MAX_WINDOW_MS: u64 = 1_000;
/// Late samples that complete a window at once.
const MAX_WINDOW_LATE_SAMPLES: u32 = 2;

/// How long the slots are not decreased again after a decrease did not reduce latency.
const FAILED_DECREASE_HOLD_MS: u64 = 30_000;

/// Concurrency limiter with additive increase and multiplicative decrease, evaluated once per window.
///
/// Late responses reduce only load that this process controls: first batch, then online requests if the target runs at
/// its limit. Late responses of a target that is not full change nothing, and a decrease that does not reduce latency
/// is reverted.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimiter {
    limits: ServiceLimits,
    slots: u32,
    batch: u32,
    window: Window,
    /// When a limit was last decreased or reverted; samples of requests that started earlier are ignored.
    changed_at_ms: u64,
    decrease: Option<Decrease>,
    hold_until_ms: u64,
}

/// A decrease of the slots whose effect on latency has not been measured yet.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    slots_before: u32,
    latency_before_permille: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start_ms: u64,
    samples: u32,
    late: u32,
    /// The sum of all latencies, each in thousandths of its objective.
    latency_permille: u64,
    peak_running: u32,
    peak_batch: u32,
}

impl Window {
    fn is_late(&self) -> bool {
        self.late * 20 > self.samples
    }

    fn mean_latency_permille(&self) -> u64 {
        self.latency_permille / u64::from(self.samples.max(1))
    }
}

impl ConcurrencyLimiter {
    pub(crate) fn new(limits: ServiceLimits) -> Self {
        let slots = limits.slots.max(1);
        Self {
            limits,
            slots,
            batch: slots,
            window: Window::default(),
            changed_at_ms: 0,
            decrease: None,
            hold_until_ms: 0,
        }
    }

    /// Applies a changed record. A raised limit applies at once if the slots were at the old one, else step by step.
    pub(crate) fn configure(&mut self, limits: ServiceLimits) {
        let was_full = self.slots == self.limits.slots.max(1);
        let max = limits.slots.max(1);
        self.slots = if was_full { max } else { self.slots.min(max) };
        self.batch = if was_full { max } else { self.batch.min(max) };
        self.limits = limits;
        self.decrease = None;
    }

    /// Returns the maximum number of running requests.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the maximum number of running batch items.
    pub(crate) fn batch(&self) -> u32 {
        self.batch.min(self.slots)
    }

    /// Returns the maximum number of queued online requests.
    pub(crate) fn queue(&self) -> usize {
        self.limits.queue as usize
    }

    pub(crate) fn record_running(&mut self, online: u32, batch: u32) {
        self.window.peak_running = self.window.peak_running.max(online + batch);
        self.window.peak_batch = self.window.peak_batch.max(batch);
    }

    /// Records the latency of a finished online request; one without a response is ignored.
    pub(crate) fn sample(&mut self, started_at_ms: u64, finish: &Finish) {
        let Some(first_byte_ms) = finish.first_byte_ms else {
            return;
        };
        if started_at_ms < self.changed_at_ms {
            return;
        }
        let first = permille(first_byte_ms, self.limits.first_token_ms);
        let between_ms = finish.between_tokens_ms.unwrap_or(0);
        let between = permille(between_ms, self.limits.between_tokens_ms);
        let latency = first.max(between);
        self.window.samples += 1;
        self.window.late += u32::from(latency > 1_000);
        self.window.latency_permille += latency;
    }

    /// Adjusts the limits and starts a new window if the current one is complete.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let window = self.window;
        let elapsed = now_ms.saturating_sub(window.start_ms) >= MAX_WINDOW_MS;
        if !elapsed && window.samples < MAX_WINDOW_SAMPLES && window.late < MAX_WINDOW_LATE_SAMPLES
        {
            return;
        }
        if window.is_late() {
            self.decrease(now_ms, window);
        } else {
            self.increase(window);
        }
        self.window = Window {
            start_ms: now_ms,
            ..Window::default()
        };
    }

    fn decrease(&mut self, now_ms: u64, window: Window) {
        if window.peak_batch > 0 {
            self.batch = window.peak_batch.min(self.batch) / 2;
            self.changed_at_ms = now_ms;
            return;
        }
        if window.peak_running < self.slots || now_ms < self.hold_until_ms {
            return;
        }
        let latency_permille = window.mean_latency_permille();
        self.changed_at_ms = now_ms;
        if let Some(last) = self.decrease.take()
            && latency_permille * 32 > last.latency_before_permille * 31
        {
            self.slots = last.slots_before.min(self.limits.slots.max(1));
            self.hold_until_ms = now_ms + FAILED_DECREASE_HOLD_MS;
            return;
        }
        self.decrease = Some(Decrease {
            slots_before: self.slots,
            latency_before_permille: latency_permille,
        });
        self.slots = (self.slots * 7 / 8).max(1);
    }

    fn increase(&mut self, window: Window) {
        let max = self.limits.slots.max(1);
        if window.samples > 0 {
            self.decrease = None;
        }
        if window.peak_batch >= self.batch {
            self.batch = (self.batch + 1 + self.batch / 16).min(max);
        }
        if window.peak_running >= self.slots {
            self.slots = (self.slots + 1).min(max);
        }
    }
}

fn permille(value_ms: u64, target_ms: u64) -> u64 {
    value_ms.saturating_mul(1_000) / target_ms.max(1)
}
