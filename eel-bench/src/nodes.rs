//! Runs the nodes of a testbed in this process.

use eel_local::{NodeError, Nodes, wait_ready};
use error_stack::{Report, ResultExt as _};
use reqwest::Client;

use crate::testbed::{CALLER_KEY, Testbed};

/// Starts the nodes of `testbed` and waits until a request gets a response with status 200.
///
/// # Errors
///
/// [`NodeError`] if a node cannot start or no request gets such a response in time.
pub async fn start(testbed: &Testbed) -> Result<Nodes, Report<NodeError>> {
    let mut nodes = Nodes::default();
    for path in &testbed.target_settings {
        nodes.start_target(path)?;
    }
    nodes.start_entry(&testbed.entry_settings)?;
    let builder = Client::builder().no_proxy();
    let client = builder.build().change_context(NodeError::Start)?;
    wait_ready(&client.post(&testbed.path_url).bearer_auth(CALLER_KEY)).await?;
    Ok(nodes)
}
