//! The status report of an entry node.

use std::collections::BTreeMap;

use eel_types::{Name, Revision};
use serde::{Deserialize, Serialize};

use crate::{Problem, RecordKey};

/// The JSON response of an entry node to `GET /status` at its admin address.
///
/// `in_force` maps `kind/name` to the revision of the version in force; `problems` gives the reasons why a record is
/// not in force or stays at an older version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the VM.
    pub name: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The store revision that the node's snapshot reflects.
    pub revision: Revision,
    /// The revision of each record in force on the node.
    pub in_force: BTreeMap<RecordKey, Revision>,
    /// The problems found while building the current snapshot.
    #[serde(default)]
    pub problems: Vec<Problem>,
    /// The target nodes that this node has links to.
    #[serde(default)]
    pub targets: Vec<TargetStatus>,
}

/// The status of a target node, as an entry node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the VM.
    pub name: Name,
    /// The pool of its target.
    pub pool: Name,
    /// The newest revision that the target node has acknowledged.
    pub revision: Revision,
    /// The reason why the target does not match the records, such as a model that failed to load.
    #[serde(default)]
    pub problem: Option<String>,
}
