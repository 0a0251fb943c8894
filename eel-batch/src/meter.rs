//! Measures the rate at which items finish.

/// The time constant of the exponential average.
const TIME_CONSTANT_MS: f64 = 600_000.0;
/// The minimum measured time before a rate is reported.
const MIN_BUSY_MS: f64 = 1_000.0;

/// Exponential average of the items finished per second, over the time in which there was work.
#[derive(Clone, Debug, Default)]
pub struct RateMeter {
    last_ms: u64,
    busy: bool,
    busy_ms: f64,
    items: f64,
}

impl RateMeter {
    /// Records that `items` finished at `now_ms`. `busy` states whether work remains from now on.
    pub fn record(&mut self, now_ms: u64, items: u32, busy: bool) {
        if self.busy {
            #[expect(clippy::cast_precision_loss, reason = "an interval is short")]
            let elapsed_ms = now_ms.saturating_sub(self.last_ms) as f64;
            let decay = (-elapsed_ms / TIME_CONSTANT_MS).exp();
            self.busy_ms = self.busy_ms * decay + elapsed_ms;
            self.items = self.items * decay + f64::from(items);
        }
        self.last_ms = now_ms;
        self.busy = busy;
    }

    /// Returns the items finished per second; `None` until one second with work and one finished item were measured.
    #[must_use]
    pub fn items_per_s(&self) -> Option<f64> {
        let seen = self.busy_ms >= MIN_BUSY_MS && self.items > 0.0;
        seen.then(|| self.items * 1_000.0 / self.busy_ms)
    }
}
