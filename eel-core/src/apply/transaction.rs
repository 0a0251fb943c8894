//! Converts a plan into store transactions.

use std::collections::BTreeSet;

use bytes::Bytes;
use eel_record::{RecordKey, references_of};
use eel_store::{Compare, KeyValue, Op, Txn, WriteToken};
use error_stack::Report;

use super::{Context, Error};
use crate::{
    config_prefix,
    plan::{Action, Change, Inputs, Plan},
};

const MAX_OPERATIONS: usize = 128; // etcd's default limit for compares and for operations
const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_TRANSACTION_BYTES: usize = 1024 * 1024; // below etcd's default limit of 1.5 MiB after base64

/// One transaction, the records that it changes, and the token write that identifies it.
pub struct PlannedTxn {
    pub keys: Vec<RecordKey>,
    pub txn: Txn,
    pub token: Option<WriteToken>,
    bytes: usize,
}

/// Packs the changes of `plan`, in order, into transactions within the store's limits.
pub fn build<S: KeyValue>(
    inputs: &Inputs,
    plan: &Plan,
    context: &Context<'_, S>,
) -> Result<Vec<PlannedTxn>, Report<Error>> {
    let config = config_prefix(context.prefix);
    let changed: BTreeSet<_> = plan.changes.iter().map(|change| &change.key).collect();
    let mut txns: Vec<PlannedTxn> = Vec::new();
    for change in &plan.changes {
        let value = encode_value(inputs, change, context.token)?;
        let bytes = value.as_ref().map_or(0, Bytes::len);
        let mut compares = vec![revision_compare(&config, change)];
        let references = references(inputs, change);
        let unchanged = references.filter(|key| !changed.contains(key));
        compares.extend(unchanged.map(|key| exists_compare(&config, &key)));
        if !txns
            .last()
            .is_some_and(|planned| planned.fits(compares.len(), bytes))
        {
            txns.push(PlannedTxn::new());
        }
        if let Some(planned) = txns.last_mut() {
            planned.add(&config, change, compares, value);
        }
    }
    for (index, planned) in txns.iter_mut().enumerate() {
        planned.add_deletion_marker(context.prefix, context.token, index);
    }
    Ok(txns)
}

fn encode_value(
    inputs: &Inputs,
    change: &Change,
    token: &str,
) -> Result<Option<Bytes>, Report<Error>> {
    let Some(declaration) = inputs.declared.records.get(&change.key) else {
        return Ok(None);
    };
    let text = declaration.record.clone().with_token(token).to_json();
    if text.len() > MAX_VALUE_BYTES {
        return Err(Report::new(Error::TooLarge(change.key.clone())));
    }
    Ok(Some(Bytes::from(text)))
}

fn revision_compare(config: &str, change: &Change) -> Compare {
    let key = format!("{config}{}", change.key);
    match change.expected {
        Some(revision) => Compare::ModRevision { key, revision },
        None => Compare::Absent { key },
    }
}

fn exists_compare(config: &str, key: &RecordKey) -> Compare {
    let key = format!("{config}{key}");
    Compare::Exists { key }
}

/// Lists the records that the new version of a changed record refers to.
fn references(inputs: &Inputs, change: &Change) -> impl Iterator<Item = RecordKey> {
    let declaration = inputs.declared.records.get(&change.key);
    let spec = declaration.and_then(|declaration| declaration.spec.as_ref());
    let references = spec.map(references_of).unwrap_or_default();
    let keys: BTreeSet<_> = references.into_iter().map(|(_, key)| key).collect();
    keys.into_iter()
}

impl PlannedTxn {
    fn new() -> Self {
        Self {
            keys: Vec::new(),
            txn: Txn::default(),
            token: None,
            bytes: 0,
        }
    }

    /// Returns `true` if a change with that many compares and value bytes fits. One compare and one operation stay
    /// reserved for the deletion marker.
    fn fits(&self, compares: usize, bytes: usize) -> bool {
        self.txn.compares.len() + compares < MAX_OPERATIONS
            && self.txn.success.len() + 1 < MAX_OPERATIONS
            && self.bytes + bytes <= MAX_TRANSACTION_BYTES
    }

    fn add(&mut self, config: &str, change: &Change, compares: Vec<Compare>, value: Option<Bytes>) {
        let key = format!("{config}{}", change.key);
        self.bytes += value.as_ref().map_or(0, Bytes::len);
        self.keys.push(change.key.clone());
        self.txn.compares.extend(compares);
        let op = match (change.action, value) {
            (Action::Create | Action::Update, Some(value)) => {
                let token = WriteToken {
                    key: key.clone(),
                    value: value.clone(),
                };
                self.token.get_or_insert(token);
                Op::put(key, value)
            }
            (Action::Delete, _) | (_, None) => Op::Delete { key },
        };
        self.txn.success.push(op);
    }

    /// Adds a marker write to a transaction that only deletes, to tell it from other operators' transactions.
    fn add_deletion_marker(&mut self, prefix: &str, token: &str, index: usize) {
        if self.token.is_some() {
            return;
        }
        let key = format!("{prefix}/deletions/{token}-{index}");
        let value = Bytes::from(token.to_owned());
        self.txn.compares.push(Compare::Absent { key: key.clone() });
        self.txn.success.push(Op::put(key.as_str(), value.clone()));
        self.token = Some(WriteToken { key, value });
    }
}
