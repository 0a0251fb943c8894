//! Converts requests to etcd's messages.

use base64::{Engine as _, prelude::BASE64_STANDARD};

use super::message;
use crate::{Compare, Op, RangeRequest, Txn, WatchOptions};

pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Returns the end of the range of keys that start with `prefix`, exclusive.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // etcd's notation for the end of the key space
}

/// Returns the start of the range of keys that start with `prefix`; for an empty prefix, etcd expects a zero byte.
fn start(prefix: &str) -> String {
    if prefix.is_empty() {
        encode([0])
    } else {
        encode(prefix)
    }
}

pub fn range(request: &RangeRequest) -> message::Range {
    let key = match &request.after {
        Some(after) => encode([after.as_bytes(), &[0]].concat()),
        None if request.is_prefix => start(&request.key),
        None => encode(&request.key),
    };
    message::Range {
        key,
        end: request.is_prefix.then(|| encode(prefix_end(&request.key))),
        limit: request.limit,
        revision: request.revision.map_or(0, |r| r.0),
        count_only: request.count_only,
        keys_only: request.keys_only,
        min_mod_revision: request.min_mod_revision.map_or(0, |r| r.0),
    }
}

fn compare(compare: &Compare) -> message::Compare {
    use message::{CompareOperand as Operand, CompareResult as Is, CompareTarget as Target};
    let (key, result, target, operand) = match compare {
        Compare::Absent { key } => (
            key,
            Is::Equal,
            Target::Create,
            Operand::CreateRevision("0".into()),
        ),
        Compare::Exists { key } => (
            key,
            Is::Greater,
            Target::Create,
            Operand::CreateRevision("0".into()),
        ),
        Compare::ModRevision { key, revision } => (
            key,
            Is::Equal,
            Target::Mod,
            Operand::ModRevision(revision.to_string()),
        ),
        Compare::CreateRevision { key, revision } => (
            key,
            Is::Equal,
            Target::Create,
            Operand::CreateRevision(revision.to_string()),
        ),
        Compare::Value { key, value } => {
            (key, Is::Equal, Target::Value, Operand::Value(encode(value)))
        }
    };
    message::Compare {
        key: encode(key),
        result,
        target,
        operand,
    }
}

fn op(op: &Op) -> message::RequestOp {
    match op {
        Op::Put { key, value, lease } => message::RequestOp::Put(message::Put {
            key: encode(key),
            value: encode(value),
            lease: lease.map_or(0, |l| l.0),
        }),
        Op::Delete { key } => message::RequestOp::DeleteRange(message::DeleteRange {
            key: encode(key),
            end: None,
        }),
        Op::DeletePrefix { prefix } => message::RequestOp::DeleteRange(message::DeleteRange {
            key: start(prefix),
            end: Some(encode(prefix_end(prefix))),
        }),
        Op::Range(request) => message::RequestOp::Range(range(request)),
    }
}

pub fn txn(txn: &Txn) -> message::Txn {
    message::Txn {
        compare: txn.compares.iter().map(compare).collect(),
        success: txn.success.iter().map(op).collect(),
        failure: txn.failure.iter().map(op).collect(),
    }
}

pub fn watch(options: &WatchOptions, start_revision: u64) -> message::Watch {
    message::Watch {
        create_request: message::WatchCreate {
            key: start(&options.prefix),
            range_end: encode(prefix_end(&options.prefix)),
            start_revision,
            progress_notify: true,
        },
    }
}
