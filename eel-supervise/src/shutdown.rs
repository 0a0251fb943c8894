//! Shutdown requests to a process.

use tokio_util::sync::CancellationToken;

/// The two stages of a shutdown; clones share the tokens.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled to drain: finish running work, accept no new work, then end.
    pub drain: CancellationToken,
    /// Cancelled to end at once.
    pub now: CancellationToken,
}

impl Shutdown {
    /// Handles a termination signal: the first one starts the drain, any further one ends the process at once.
    pub fn on_signal(&self) {
        if self.drain.is_cancelled() {
            self.now.cancel();
        } else {
            self.drain.cancel();
        }
    }
}
