//! Runs the nodes of a stage in this process, each on worker threads of its own.

use std::{path::Path, thread::JoinHandle, time::Duration};

use eel_entry::EntryNode;
use eel_settings::{EntrySettings, TargetSettings};
use eel_supervise::Shutdown;
use eel_target::TargetNode;
use error_stack::{Report, ResultExt as _};
use reqwest::{Client, StatusCode};
use tokio::runtime::Runtime;

use crate::stage::{CALLER_KEY, Stage};

/// Worker threads of each node.
pub const WORKERS: usize = 2;

/// How long the nodes may take until a request is answered.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// Nodes that run until this is dropped.
#[derive(Default)]
pub struct Nodes {
    shutdown: Shutdown,
    threads: Vec<JoinHandle<()>>,
}

/// Why the nodes are not there.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Error {
    /// The settings of a node cannot be used.
    #[error("the settings of a node cannot be used")]
    Settings,
    /// A node cannot start.
    #[error("a node cannot start")]
    Start,
    /// No request was answered in time.
    #[error("no request was answered within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.shutdown.now.cancel();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Starts the nodes of `stage` and waits until a request is answered.
///
/// # Errors
///
/// [`Error`] if a node cannot start or no request is answered in time.
pub async fn start(stage: &Stage) -> Result<Nodes, Report<Error>> {
    let mut nodes = Nodes::default();
    for path in &stage.target_settings {
        nodes.start_target(path)?;
    }
    nodes.start_entry(&stage.entry_settings)?;
    wait_ready(&stage.path_url).await?;
    Ok(nodes)
}

impl Nodes {
    fn start_target(&mut self, path: &Path) -> Result<(), Report<Error>> {
        let settings = TargetSettings::load(path).change_context(Error::Settings)?;
        self.spawn(async move |shutdown| {
            let node = TargetNode::bind(&settings)
                .await
                .map_err(|report| report.to_string())?;
            node.run(shutdown)
                .await
                .map_err(|report| report.to_string())
        })
    }

    fn start_entry(&mut self, path: &Path) -> Result<(), Report<Error>> {
        let settings = EntrySettings::load(path).change_context(Error::Settings)?;
        self.spawn(async move |shutdown| {
            let node = EntryNode::bind(&settings)
                .await
                .map_err(|report| report.to_string())?;
            node.run(shutdown)
                .await
                .map_err(|report| report.to_string())
        })
    }

    fn spawn(
        &mut self,
        node: impl AsyncFnOnce(Shutdown) -> Result<(), String> + Send + 'static,
    ) -> Result<(), Report<Error>> {
        let runtime = new_runtime()?;
        let shutdown = self.shutdown.clone();
        let thread = std::thread::spawn(move || {
            if let Err(error) = runtime.block_on(node(shutdown)) {
                log::error!(target: "bench", "A node ended: {error}.");
            }
        });
        self.threads.push(thread);
        Ok(())
    }
}

fn new_runtime() -> Result<Runtime, Report<Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let builder = builder.worker_threads(WORKERS).enable_all();
    builder.build().change_context(Error::Start)
}

/// Waits until the service answers at `path_url`.
///
/// # Errors
///
/// [`Error::NotReady`] if it does not in time.
pub async fn wait_ready(path_url: &str) -> Result<(), Report<Error>> {
    let client = Client::builder()
        .no_proxy()
        .build()
        .change_context(Error::Start)?;
    let answered = async {
        loop {
            let request = client.post(path_url).bearer_auth(CALLER_KEY);
            let answer = request.send().await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
    };
    let answered = tokio::time::timeout(READY_TIMEOUT, answered).await;
    answered.change_context(Error::NotReady)
}
