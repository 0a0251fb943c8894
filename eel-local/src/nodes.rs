//! Runs nodes in this process, each in a Tokio runtime of its own.

use std::{path::Path, thread::JoinHandle, time::Duration};

use eel_entry::EntryNode;
use eel_settings::{EntrySettings, TargetSettings};
use eel_supervise::Shutdown;
use eel_target::TargetNode;
use error_stack::{Report, ResultExt as _};
use reqwest::{RequestBuilder, StatusCode};
use tokio::runtime::Runtime;

/// Worker threads of each node's runtime.
pub const WORKER_THREADS: usize = 2;

/// Upper bound of the time until the nodes respond to a request with 200.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Running nodes. Dropping this stops them at once and waits for their threads.
#[derive(Default)]
pub struct Nodes {
    shutdown: Shutdown,
    threads: Vec<JoinHandle<bool>>,
}

/// Why nodes could not be started or ended with an error.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum NodeError {
    /// The settings of a node cannot be read or are invalid.
    #[error("cannot load the settings of a node")]
    Settings,
    /// The runtime of a node or an HTTP client cannot be set up.
    #[error("cannot start a node")]
    Start,
    /// No request got a response with status 200 in time.
    #[error("no response with status 200 within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// A node returned an error or panicked.
    #[error("a node ended with an error")]
    Ended,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.shutdown.now.cancel();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Nodes {
    /// Starts a target node with the settings at `path`.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the settings cannot be read or the node's threads cannot start.
    pub fn start_target(&mut self, path: &Path) -> Result<(), Report<NodeError>> {
        let settings = TargetSettings::load(path).change_context(NodeError::Settings)?;
        self.spawn(async move |shutdown| {
            let node = TargetNode::bind(&settings)
                .await
                .map_err(|report| report.to_string())?;
            node.run(shutdown)
                .await
                .map_err(|report| report.to_string())
        })
    }

    /// Starts an entry node with the settings at `path`.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the settings cannot be read or the node's threads cannot start.
    pub fn start_entry(&mut self, path: &Path) -> Result<(), Report<NodeError>> {
        let settings = EntrySettings::load(path).change_context(NodeError::Settings)?;
        self.spawn(async move |shutdown| {
            let node = EntryNode::bind(&settings)
                .await
                .map_err(|report| report.to_string())?;
            node.run(shutdown)
                .await
                .map_err(|report| report.to_string())
        })
    }

    /// Drains the nodes and waits until they have ended.
    ///
    /// # Errors
    ///
    /// [`NodeError::Ended`] if a node ended with an error.
    pub async fn drain(mut self) -> Result<(), Report<NodeError>> {
        self.shutdown.drain.cancel();
        let threads = std::mem::take(&mut self.threads);
        let joined = tokio::task::spawn_blocking(|| {
            let ended = threads.into_iter().map(JoinHandle::join);
            let ended: Vec<bool> = ended.map(|ended| ended.unwrap_or(false)).collect();
            ended.into_iter().all(|succeeded| succeeded)
        });
        match joined.await {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(Report::new(NodeError::Ended)),
        }
    }

    /// Runs `node` on a thread of its own, in a new runtime.
    fn spawn(
        &mut self,
        node: impl AsyncFnOnce(Shutdown) -> Result<(), String> + Send + 'static,
    ) -> Result<(), Report<NodeError>> {
        let runtime = new_runtime()?;
        let shutdown = self.shutdown.clone();
        let thread = std::thread::spawn(move || {
            let ended = runtime.block_on(node(shutdown));
            if let Err(error) = &ended {
                log::error!(target: "local", "A node ended with an error: {error}.");
            }
            ended.is_ok()
        });
        self.threads.push(thread);
        Ok(())
    }
}

fn new_runtime() -> Result<Runtime, Report<NodeError>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let builder = builder.worker_threads(WORKER_THREADS).enable_all();
    builder.build().change_context(NodeError::Start)
}

/// Repeats `request` until the response has status 200.
///
/// # Errors
///
/// [`NodeError::NotReady`] if there is no such response within 20 s.
pub async fn wait_ready(request: &RequestBuilder) -> Result<(), Report<NodeError>> {
    let succeeded = async {
        while let Some(request) = request.try_clone() {
            let response = request.send().await;
            if response.is_ok_and(|response| response.status() == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let succeeded = tokio::time::timeout(READY_TIMEOUT, succeeded).await;
    succeeded.change_context(NodeError::NotReady)
}
