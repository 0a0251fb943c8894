//! `status`: where each record is in force.

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

/// Whom to ask.
#[derive(Clone, Debug)]
pub struct Options {
    /// The admin addresses of entry nodes, such as `http://10.0.0.1:9080`.
    pub nodes: Vec<Name>,
    /// How long a node may take to answer.
    pub timeout_ms: u64,
}

/// What a status is read from.
#[derive(Debug)]
pub struct Context<'a, S> {
    /// The key-value service.
    pub store: &'a S,
    /// The prefix of every key of the fleet.
    pub prefix: &'a str,
}

/// Why there is no status.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The store cannot be read.
    #[error("cannot read the store")]
    Store,
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client")]
    Client,
}

/// Compares the records that the store holds with those in force on each node.
///
/// # Errors
///
/// Returns an error if the store cannot be read; a node that gives no answer is part of the outcome.
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
