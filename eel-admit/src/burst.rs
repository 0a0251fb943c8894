//! Tracks the size of recent online bursts.

/// Tracks the largest number of online arrivals within one window, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstTracker {
    window_start_ms: u64,
    in_window: u32,
    peak: u32,
    peak_at_ms: u64,
}

impl BurstTracker {
    /// Counts an online arrival.
    pub(crate) fn arrived(&mut self, now_ms: u64, window_ms: u64, half_life_ms: u64) {
        if now_ms.saturating_sub(self.window_start_ms) >= window_ms {
            self.window_start_ms = now_ms;
            self.in_window = 0;
        }
        self.in_window = self.in_window.saturating_add(1);
        if self.in_window >= self.size(now_ms, half_life_ms) {
            self.peak = self.in_window;
            self.peak_at_ms = now_ms;
        }
    }

    /// Returns the size of the largest recent burst, halved for each half-life that has passed since.
    pub(crate) fn size(&self, now_ms: u64, half_life_ms: u64) -> u32 {
        let halvings = now_ms.saturating_sub(self.peak_at_ms) / half_life_ms.max(1);
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.peak.checked_shr(halvings).unwrap_or(0)
    }
}
