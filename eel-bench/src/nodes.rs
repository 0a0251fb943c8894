//! Runs the nodes of a stage in this process.

use eel_local::{NodeError, Nodes, wait_ready};
use error_stack::{Report, ResultExt as _};
use reqwest::Client;

use crate::stage::{CALLER_KEY, Stage};

/// Starts the nodes of `stage` and waits until a request is answered.
///
/// # Errors
///
/// [`NodeError`] if a node cannot start or no request is answered in time.
pub async fn start(stage: &Stage) -> Result<Nodes, Report<NodeError>> {
    let mut nodes = Nodes::default();
    for path in &stage.target_settings {
        nodes.start_target(path)?;
    }
    nodes.start_entry(&stage.entry_settings)?;
    let builder = Client::builder().no_proxy();
    let client = builder.build().change_context(NodeError::Start)?;
    wait_ready(&client.post(&stage.path_url).bearer_auth(CALLER_KEY)).await?;
    Ok(nodes)
}
