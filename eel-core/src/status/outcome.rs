//! Compares the accepted records with those in force on each node.

use std::{collections::BTreeMap, fmt};

use eel_record::{NodeStatus, Problem, RecordKey};
use eel_types::{Name, Revision};
use serde::Serialize;

use crate::Exit;

/// A node that does not have the accepted version of a record in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// The name of the node.
    pub node: Name,
    /// The revision in force on the node; `None` if the record is not in force there.
    pub in_force: Option<Revision>,
    /// The problem that the node reports for the record, or the revision that it has reached.
    pub why: String,
}

/// The status of one record across all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RecordStatus {
    /// The kind and name of the record.
    pub key: RecordKey,
    /// The revision in the store; `None` if the record was deleted but is still in force on a node.
    pub accepted: Option<Revision>,
    /// The lowest revision in force among the nodes that responded; `None` if one of them does not have it in force.
    pub lowest_in_force: Option<Revision>,
    /// The nodes that do not have the accepted version in force.
    pub behind: Vec<LaggingNode>,
}

/// A node that did not respond.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// The admin URL of the node.
    pub address: Name,
    /// The error of the request.
    pub why: String,
}

/// The status of all records across all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The store revision that was read.
    pub revision: Revision,
    /// The records, in order of kind and name.
    pub records: Vec<RecordStatus>,
    /// The nodes that responded.
    pub nodes: Vec<NodeStatus>,
    /// The nodes that did not respond.
    pub unreachable: Vec<Unreachable>,
}

/// Compares the `accepted` revisions, read at store revision `revision`, with those in force on `nodes`.
#[must_use]
pub fn evaluate(
    revision: Revision,
    accepted: &BTreeMap<RecordKey, Revision>,
    nodes: Vec<NodeStatus>,
    unreachable: Vec<Unreachable>,
) -> Outcome {
    let mut records = BTreeMap::new();
    for node in nodes.iter().filter(|node| node.revision <= revision) {
        records.extend(node.in_force.keys().map(|key| (key, None)));
    }
    records.extend(
        accepted
            .iter()
            .map(|(key, &revision)| (key, Some(revision))),
    );
    let records = records
        .into_iter()
        .map(|(key, accepted)| evaluate_record(key, accepted, &nodes));
    Outcome {
        revision,
        records: records.collect(),
        unreachable,
        nodes,
    }
}

fn evaluate_record(
    key: &RecordKey,
    accepted: Option<Revision>,
    nodes: &[NodeStatus],
) -> RecordStatus {
    let in_force = nodes.iter().map(|node| node.in_force.get(key).copied());
    let lowest_in_force = in_force.min().flatten();
    let behind = nodes
        .iter()
        .filter_map(|node| lagging_node(key, accepted, node));
    RecordStatus {
        key: key.clone(),
        accepted,
        lowest_in_force,
        behind: behind.collect(),
    }
}

fn lagging_node(
    key: &RecordKey,
    accepted: Option<Revision>,
    node: &NodeStatus,
) -> Option<LaggingNode> {
    let in_force = node.in_force.get(key).copied();
    let is_behind = match (accepted, in_force) {
        (Some(accepted), in_force) => in_force < Some(accepted),
        (None, in_force) => in_force.is_some(),
    };
    is_behind.then(|| LaggingNode {
        node: node.name.clone(),
        in_force,
        why: reason(key, node),
    })
}

fn reason(key: &RecordKey, node: &NodeStatus) -> String {
    let mut problems = node.problems.iter();
    match problems.find(|problem| problem.record.as_ref() == Some(key)) {
        Some(problem) => describe(problem),
        None => format!("the node has seen revision {}", node.revision),
    }
}

fn describe(problem: &Problem) -> String {
    let without_record = Problem {
        record: None,
        ..problem.clone()
    };
    without_record.to_string()
}

impl Outcome {
    /// Returns `true` if every node responded and has every accepted version in force.
    #[must_use]
    pub fn is_in_force_everywhere(&self) -> bool {
        let is_in_force = |record: &RecordStatus| record.behind.is_empty();
        self.unreachable.is_empty() && self.records.iter().all(is_in_force)
    }

    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        if self.is_in_force_everywhere() {
            Exit::Success
        } else {
            Exit::NotInForce
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<40} {:>9} {:>9}", "record", "accepted", "in force")?;
        for record in &self.records {
            record.fmt(f)?;
        }
        let targets = self.nodes.iter().flat_map(|node| &node.targets);
        for target in targets {
            if let Some(problem) = &target.problem {
                writeln!(f, "target {}: {problem}", target.name)?;
            }
        }
        for node in &self.unreachable {
            writeln!(f, "no response from {}: {}", node.address, node.why)?;
        }
        let count = self.nodes.len();
        write!(f, "revision {}, {count} nodes responded", self.revision)
    }
}

impl fmt::Display for RecordStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.key.to_string();
        let accepted = or_none(self.accepted);
        let lowest = or_none(self.lowest_in_force);
        writeln!(f, "{key:<40} {accepted:>9} {lowest:>9}")?;
        for behind in &self.behind {
            let in_force = or_none(behind.in_force);
            writeln!(f, "    {} has {in_force}: {}", behind.node, behind.why)?;
        }
        Ok(())
    }
}

fn or_none(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string())
}
