//! The number of requests that may run at the same time, adapted to the latency targets.

use crate::{Finish, Targets};

/// Samples after which a window is judged.
const WINDOW_SAMPLES: u32 = 20;
/// The time after which a window is judged, however few its samples.
const WINDOW_MS: u64 = 1_000;
/// Late samples after which a window is judged at once.
const WINDOW_LATE: u32 = 2;

/// Additive increase and multiplicative decrease of the slots, judged window by window.
///
/// Only load that this process controls is blamed for late answers: batch first, then a concurrency at its limit. A slow
/// answer from a target that is not full changes nothing.
#[derive(Debug)]
pub(crate) struct Limits {
    targets: Targets,
    slots: u32,
    batch: u32,
    window: Window,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start_ms: u64,
    samples: u32,
    late: u32,
    peak_running: u32,
    peak_batch: u32,
}

impl Limits {
    pub(crate) fn new(targets: Targets) -> Self {
        let slots = targets.slots.max(1);
        Self {
            targets,
            slots,
            batch: slots,
            window: Window::default(),
        }
    }

    /// Takes over a changed record; a raised limit is reached step by step.
    pub(crate) fn configure(&mut self, targets: Targets) {
        let was_full = self.slots == self.targets.slots.max(1);
        let max = targets.slots.max(1);
        self.slots = if was_full { max } else { self.slots.min(max) };
        self.batch = if was_full { max } else { self.batch.min(max) };
        self.targets = targets;
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
    pub(crate) fn sample(&mut self, finish: &Finish) {
        if finish.first_byte_ms.is_none() {
            return;
        }
        let late_start = finish.first_byte_ms > Some(self.targets.first_token_ms);
        let late_tokens = finish.between_tokens_ms > Some(self.targets.between_tokens_ms);
        self.window.samples += 1;
        self.window.late += u32::from(late_start || late_tokens);
    }

    /// Judges the window if it is complete.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let window = self.window;
        let elapsed = now_ms.saturating_sub(window.start_ms) >= WINDOW_MS;
        if !elapsed && window.samples < WINDOW_SAMPLES && window.late < WINDOW_LATE {
            return;
        }
        if window.late * 20 > window.samples {
            self.decrease(window);
        } else {
            self.increase(window);
        }
        self.window = Window {
            start_ms: now_ms,
            ..Window::default()
        };
    }

    fn decrease(&mut self, window: Window) {
        if window.peak_batch > 0 {
            self.batch = window.peak_batch.min(self.batch) / 2;
        } else if window.peak_running >= self.slots {
            self.slots = (self.slots * 7 / 8).max(1);
        }
    }

    fn increase(&mut self, window: Window) {
        let max = self.targets.slots.max(1);
        if window.peak_batch >= self.batch {
            self.batch = (self.batch + 1 + self.batch / 16).min(max);
        }
        if window.peak_running >= self.slots {
            self.slots = (self.slots + 1).min(max);
        }
    }
}
