//! The observed rate of finished items.

/// The time constant of the average.
const WINDOW_MS: f64 = 600_000.0;
/// The shortest observation that says anything.
const MIN_BUSY_MS: f64 = 1_000.0;

/// Averages the items finished a second over the time in which there was work.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    last_ms: u64,
    busy: bool,
    busy_ms: f64,
    items: f64,
}

impl RateMeter {
    /// Notes that `items` were finished; `busy` says whether more work is waiting.
    pub fn record(&mut self, now_ms: u64, items: u32, busy: bool) {
        if self.busy {
            #[expect(clippy::cast_precision_loss, reason = "an interval is short")]
            let elapsed_ms = now_ms.saturating_sub(self.last_ms) as f64;
            let decay = (-elapsed_ms / WINDOW_MS).exp();
            self.busy_ms = self.busy_ms * decay + elapsed_ms;
            self.items = self.items * decay + f64::from(items);
        }
        self.last_ms = now_ms;
        self.busy = busy;
    }

    /// Returns the items finished a second, once enough was seen.
    #[must_use]
    pub fn items_per_s(&self) -> Option<f64> {
        let seen = self.busy_ms >= MIN_BUSY_MS && self.items > 0.0;
        seen.then(|| self.items * 1_000.0 / self.busy_ms)
    }
}
