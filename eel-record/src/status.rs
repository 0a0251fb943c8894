//! What an entry node says about itself.

use std::collections::BTreeMap;

use eel_types::{Name, Revision};
use serde::{Deserialize, Serialize};

use crate::{Problem, RecordKey};

/// The answer of an entry node to `GET /status` at its admin address, in JSON.
///
/// `in_force` maps `kind/name` to the revision of the version in force; `problems` says why a record is not in force, or
/// keeps an older version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM's name.
    pub name: Name,
    /// The data centre that the VM stands in.
    pub data_centre: Name,
    /// The revision of the store that the node's snapshot reflects.
    pub revision: Revision,
    /// For each record in force on the node, the revision of its version.
    pub in_force: BTreeMap<RecordKey, Revision>,
    /// Problems of the node's present snapshot.
    #[serde(default)]
    pub problems: Vec<Problem>,
    /// The target nodes that this node has a link to.
    #[serde(default)]
    pub targets: Vec<TargetStatus>,
}

/// What an entry node knows of a target node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The VM's name.
    pub name: Name,
    /// The pool that its target belongs to.
    pub pool: Name,
    /// The revision that the target node has acknowledged.
    pub revision: Revision,
    /// What keeps the target from what the records declare, such as a failed load of a model.
    #[serde(default)]
    pub problem: Option<String>,
}
