//! How a process is told to end.

use tokio_util::sync::CancellationToken;

/// The two orders to end a process.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Finish what runs, take nothing new, then end.
    pub drain: CancellationToken,
    /// End now.
    pub now: CancellationToken,
}

impl Shutdown {
    /// Passes on one signal: the first asks to drain, any further one to end now.
    pub fn on_signal(&self) {
        if self.drain.is_cancelled() {
            self.now.cancel();
        } else {
            self.drain.cancel();
        }
    }
}
