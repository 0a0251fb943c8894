//! Range reads and transactions.

use std::{cmp::Ordering, collections::BTreeSet};

use super::{
    lease::Leases,
    message::{
        Base64, Compare, CompareResult, CompareTarget, DeleteRangeResponse, Event, Header, Put,
        PutResponse, Range, RangeResponse, RequestOp, ResponseOp, Txn, TxnResponse,
    },
    mvcc::{KeyRange, Mvcc},
};

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_REQUEST_BYTES: usize = 1536 * 1024; // etcd's default
const MAX_OPERATIONS: usize = 128; // etcd's default

/// Why a call was refused. A refused call has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Invalid,
    TooLarge,
    LeaseNotFound,
    Compacted,
}

/// The keys and leases of the service.
#[derive(Debug)]
pub struct State {
    pub mvcc: Mvcc,
    pub leases: Leases,
}

impl State {
    pub fn new() -> Self {
        Self {
            mvcc: Mvcc::new(),
            leases: Leases::default(),
        }
    }

    pub fn header(&self) -> Header {
        Header {
            revision: self.mvcc.revision.into(),
        }
    }

    pub fn range(&self, range: &Range) -> Result<RangeResponse, Refusal> {
        let requested = range.revision.unsigned();
        if requested > 0 && requested < self.mvcc.compacted {
            return Err(Refusal::Compacted);
        }
        if requested > self.mvcc.revision {
            return Err(Refusal::Invalid);
        }
        let revision = if requested == 0 { u64::MAX } else { requested };
        let mut kvs = self
            .mvcc
            .read(&KeyRange::new(&range.key, &range.end), revision);
        let count = u64::try_from(kvs.len()).unwrap_or(u64::MAX);
        kvs.retain(|kv| kv.mod_revision >= range.min_mod_revision);
        let limit = usize::try_from(range.limit.0).unwrap_or(0);
        let more = limit > 0 && kvs.len() > limit;
        if more {
            kvs.truncate(limit);
        }
        if range.count_only {
            kvs.clear();
        }
        if range.keys_only {
            for kv in &mut kvs {
                kv.value = Base64::default();
            }
        }
        Ok(RangeResponse {
            header: self.header(),
            kvs,
            more: more && !range.count_only,
            count: count.into(),
        })
    }

    /// Applies one branch and returns its changes, which all get the same new revision.
    pub fn commit(&mut self, txn: &Txn) -> Result<(TxnResponse, Vec<Event>), Refusal> {
        check_limits(&txn.success)?;
        check_limits(&txn.failure)?;
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let branch = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        self.check_leases(branch)?;
        let revision = self.mvcc.revision + 1;
        let mut events = Vec::new();
        let mut responses = Vec::new();
        for op in branch {
            responses.push(self.apply(op, revision, &mut events)?);
        }
        if !events.is_empty() {
            self.mvcc.revision = revision;
        }
        let response = TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        };
        Ok((response, events))
    }

    /// Revokes a lease and deletes its keys; returns the deletions.
    pub fn revoke_lease(&mut self, id: i64) -> Result<Vec<Event>, Refusal> {
        let keys = self.leases.remove(id).ok_or(Refusal::LeaseNotFound)?;
        let revision = self.mvcc.revision + 1;
        let mut events = Vec::new();
        for key in keys {
            let range = KeyRange::new(&Base64(key), &Base64::default());
            events.extend(self.mvcc.delete(&range, revision));
        }
        if !events.is_empty() {
            self.mvcc.revision = revision;
        }
        Ok(events)
    }

    fn check_leases(&self, branch: &[RequestOp]) -> Result<(), Refusal> {
        let known = |op: &RequestOp| match op {
            RequestOp::Put(put) => put.lease.0 == 0 || self.leases.exists(put.lease.0),
            RequestOp::Range(_) | RequestOp::Delete(_) => true,
        };
        if branch.iter().all(known) {
            return Ok(());
        }
        Err(Refusal::LeaseNotFound)
    }

    fn holds(&self, compare: &Compare) -> bool {
        let current = self.mvcc.current(&compare.key.0);
        let number = |of: fn(&super::message::Kv) -> i64| current.as_ref().map_or(0, of);
        let ordering = match compare.target {
            CompareTarget::Version => number(|kv| kv.version.0).cmp(&compare.version.0),
            CompareTarget::Create => {
                number(|kv| kv.create_revision.0).cmp(&compare.create_revision.0)
            }
            CompareTarget::Mod => number(|kv| kv.mod_revision.0).cmp(&compare.mod_revision.0),
            CompareTarget::Lease => number(|kv| kv.lease.0).cmp(&compare.lease.0),
            CompareTarget::Value => match &current {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => ordering == Ordering::Equal,
            CompareResult::NotEqual => ordering != Ordering::Equal,
            CompareResult::Greater => ordering == Ordering::Greater,
            CompareResult::Less => ordering == Ordering::Less,
        }
    }

    fn apply(
        &mut self,
        op: &RequestOp,
        revision: u64,
        events: &mut Vec<Event>,
    ) -> Result<ResponseOp, Refusal> {
        let header = Header {
            revision: revision.into(),
        };
        Ok(match op {
            RequestOp::Range(range) => ResponseOp::Range(self.range(range)?),
            RequestOp::Put(put) => {
                events.push(self.put(put, revision));
                ResponseOp::Put(PutResponse { header })
            }
            RequestOp::Delete(delete) => {
                let range = KeyRange::new(&delete.key, &delete.end);
                let deleted = self.mvcc.delete(&range, revision);
                for event in &deleted {
                    self.leases.detach(&event.kv.key.0);
                }
                let count = u64::try_from(deleted.len()).unwrap_or(u64::MAX);
                events.extend(deleted);
                ResponseOp::Delete(DeleteRangeResponse {
                    header,
                    deleted: count.into(),
                })
            }
        })
    }

    fn put(&mut self, put: &Put, revision: u64) -> Event {
        self.leases.attach(&put.key.0, put.lease.0);
        self.mvcc
            .put(&put.key.0, put.value.0.clone(), put.lease.0, revision)
    }
}

/// Checks the number of operations, the sizes and the keys of a branch before anything is applied.
fn check_limits(branch: &[RequestOp]) -> Result<(), Refusal> {
    if branch.len() > MAX_OPERATIONS {
        return Err(Refusal::Invalid);
    }
    let mut total_bytes = 0;
    let mut keys = BTreeSet::new();
    for op in branch {
        let RequestOp::Put(put) = op else { continue };
        total_bytes += put.key.0.len() + put.value.0.len();
        if put.value.0.len() > MAX_VALUE_BYTES || total_bytes > MAX_REQUEST_BYTES {
            return Err(Refusal::TooLarge);
        }
        if put.key.0.is_empty() || !keys.insert(&put.key.0) {
            return Err(Refusal::Invalid);
        }
    }
    Ok(())
}
