//! The comparison of accepted records with those in force.

use std::{collections::BTreeMap, fmt};

use eel_record::{NodeStatus, Problem, RecordKey};
use eel_types::{Name, Revision};
use serde::Serialize;

use crate::Exit;

/// A node that does not have the accepted version of a record in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// The node.
    pub node: Name,
    /// The version in force there; `None` if none is.
    pub in_force: Option<Revision>,
    /// Why, as far as the node says.
    pub why: String,
}

/// Where one record is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RecordStatus {
    /// The record.
    pub key: RecordKey,
    /// The revision that the store holds; `None` if it was deleted, but is still in force somewhere.
    pub accepted: Option<Revision>,
    /// The lowest revision in force among the nodes that answered; `None` if it is not in force somewhere.
    pub lowest_in_force: Option<Revision>,
    /// The nodes without the accepted version.
    pub behind: Vec<LaggingNode>,
}

/// A node that gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// The admin address asked.
    pub address: Name,
    /// Why no answer came.
    pub why: String,
}

/// Where all records are in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The store's revision.
    pub revision: Revision,
    /// The records, in order of kind and name.
    pub records: Vec<RecordStatus>,
    /// The nodes that answered.
    pub nodes: Vec<NodeStatus>,
    /// The nodes that did not.
    pub unreachable: Vec<Unreachable>,
}

/// Compares the `accepted` revisions, read at `revision`, with what `nodes` have in force.
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
    /// Returns `true` if every node answered and has every accepted version in force.
    #[must_use]
    pub fn is_in_force_everywhere(&self) -> bool {
        let is_in_force = |record: &RecordStatus| record.behind.is_empty();
        self.unreachable.is_empty() && self.records.iter().all(is_in_force)
    }

    /// Returns what the outcome means to a script.
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
            writeln!(f, "no answer from {}: {}", node.address, node.why)?;
        }
        let count = self.nodes.len();
        write!(f, "revision {}, {count} nodes answered", self.revision)
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
