//! `status`: shows on which nodes each record is in force.

mod outcome;

use std::{collections::BTreeMap, time::Duration};

use eel_record::{NodeStatus, RecordKey};
use eel_store::KeyValue;
use eel_types::{Name, Revision};
use error_stack::{Report, ResultExt as _};
use reqwest::Client;
use thiserror::Error as ThisError;
use tokio::task::JoinSet;

use crate::read_records;

pub use outcome::{LaggingNode, Outcome, RecordStatus, Unreachable, evaluate};

/// Options of [`status`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The admin URLs of the entry nodes to query, such as `http://10.0.0.1:9080`.
    pub nodes: Vec<Name>,
    /// The timeout of the request to a node.
    pub timeout_ms: u64,
}

/// The store that holds the accepted records.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The client of the key-value service.
    pub store: &'a S,
    /// The prefix of all keys of the fleet.
    pub prefix: &'a str,
}

/// Reasons why the status cannot be determined.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The records in the store cannot be read.
    #[error("cannot read the store")]
    Store,
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client")]
    Client,
}

/// Compares the records in the store with those in force on each node.
///
/// # Errors
///
/// Returns an error if the store cannot be read; nodes that do not respond are reported in the outcome.
pub async fn status<S: KeyValue>(
    options: &Options,
    context: &Context<'_, S>,
) -> Result<Outcome, Report<Error>> {
    let stored = read_records(context.store, context.prefix)
        .await
        .change_context(Error::Store)?;
    let accepted: BTreeMap<RecordKey, Revision> = stored
        .records
        .into_iter()
        .map(|(key, entry)| (key, entry.revision))
        .collect();
    let (nodes, unreachable) = query_nodes(options).await?;
    Ok(evaluate(stored.revision, &accepted, nodes, unreachable))
}

async fn query_nodes(
    options: &Options,
) -> Result<(Vec<NodeStatus>, Vec<Unreachable>), Report<Error>> {
    let client = Client::builder()
        .timeout(Duration::from_millis(options.timeout_ms))
        .build()
        .change_context(Error::Client)?;
    let mut queries = JoinSet::new();
    for address in options.nodes.iter().cloned() {
        let client = client.clone();
        queries.spawn(async move { (query_node(&client, &address).await, address) });
    }
    let mut nodes = Vec::new();
    let mut unreachable = Vec::new();
    for (response, address) in queries.join_all().await {
        match response {
            Ok(node) => nodes.push(node),
            Err(err) => unreachable.push(Unreachable {
                address,
                why: err.to_string(),
            }),
        }
    }
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    unreachable.sort_by(|a, b| a.address.cmp(&b.address));
    Ok((nodes, unreachable))
}

async fn query_node(client: &Client, address: &str) -> reqwest::Result<NodeStatus> {
    let url = format!("{}/status", address.trim_end_matches('/'));
    let response = client.get(url).send().await?;
    response.error_for_status()?.json().await
}
