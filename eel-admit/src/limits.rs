//! The number of requests that may run at the same time, adapted to the latency targets.

use crate::{Finish, ServiceLimits};

/// Samples after which a window is judged.
const MAX_WINDOW_SAMPLES: u32 = 20;
/// The time after which a window is judged, however few its samples.
const MAX_WINDOW_MS: u64 = 1_000;
/// Late samples after which a window is judged at once.
const MAX_WINDOW_LATE_SAMPLES: u32 = 2;

/// How long slots stay as they are after fewer of them have not helped.
const FAILED_DECREASE_HOLD_MS: u64 = 30_000;

/// Additive increase and multiplicative decrease of the slots, judged window by window.
///
/// Only load that this process controls is blamed for late answers: batch first, then a concurrency at its limit. A slow
/// answer from a target that is not full changes nothing, and a decrease that makes answers no faster is undone.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimiter {
    targets: ServiceLimits,
    slots: u32,
    batch: u32,
    window: Window,
    /// When the limits last changed; requests that started earlier say nothing about them.
    changed_at_ms: u64,
    decrease: Option<Decrease>,
    hold_until_ms: u64,
}

/// A decrease of the slots whose effect is not yet known.
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
    /// The sum of all latencies, each in thousandths of its target.
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
    pub(crate) fn new(targets: ServiceLimits) -> Self {
        let slots = targets.slots.max(1);
        Self {
            targets,
            slots,
            batch: slots,
            window: Window::default(),
            changed_at_ms: 0,
            decrease: None,
            hold_until_ms: 0,
        }
    }

    /// Takes over a changed record; a raised limit is reached step by step.
    pub(crate) fn configure(&mut self, targets: ServiceLimits) {
        let was_full = self.slots == self.targets.slots.max(1);
        let max = targets.slots.max(1);
        self.slots = if was_full { max } else { self.slots.min(max) };
        self.batch = if was_full { max } else { self.batch.min(max) };
        self.targets = targets;
        self.decrease = None;
    }

    /// Returns how many requests may run.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many batch items may run.
    pub(crate) fn batch(&self) -> u32 {
        self.batch.min(self.slots)
    }

    /// Returns how many online requests may wait.
    pub(crate) fn queue(&self) -> usize {
        self.targets.queue as usize
    }

    pub(crate) fn note_running(&mut self, online: u32, batch: u32) {
        self.window.peak_running = self.window.peak_running.max(online + batch);
        self.window.peak_batch = self.window.peak_batch.max(batch);
    }

    /// Takes the latency of a finished online request that was answered.
    pub(crate) fn sample(&mut self, started_at_ms: u64, finish: &Finish) {
        let Some(first_byte_ms) = finish.first_byte_ms else {
            return;
        };
        if started_at_ms < self.changed_at_ms {
            return;
        }
        let first = permille(first_byte_ms, self.targets.first_token_ms);
        let between_ms = finish.between_tokens_ms.unwrap_or(0);
        let between = permille(between_ms, self.targets.between_tokens_ms);
        let latency = first.max(between);
        self.window.samples += 1;
        self.window.late += u32::from(latency > 1_000);
        self.window.latency_permille += latency;
    }

    /// Judges the window if it is complete.
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
            self.slots = last.slots_before.min(self.targets.slots.max(1));
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
        let max = self.targets.slots.max(1);
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
