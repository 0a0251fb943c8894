//! Clients of the platform's key-value service and VM list.
//!
//! [`KeyValue`] is the edge to the key-value service. [`EtcdJson`] implements it over the JSON mapping that etcd v3
//! publishes. [`commit_and_resolve`] decides whether a write whose answer was lost took effect. [`VmList`] is the edge to
//! the platform's list of VMs.

mod call_kind;
mod error;
mod etcd;
mod key_value;
mod lease;
mod range;
mod resolve;
mod txn;
mod vm_list;
mod watch;

pub use call_kind::CallKind;
pub use error::{RejectReason, StoreError, StoreResult};
pub use etcd::{EtcdJson, EtcdOptions};
pub use key_value::KeyValue;
pub use lease::{Lease, LeaseId};
pub use range::{KeyValuePair, RangeOutcome, RangeRequest};
pub use resolve::{CommitOutcome, WriteToken, commit_and_resolve};
pub use txn::{Compare, Op, OpOutcome, Txn, TxnOutcome};
pub use vm_list::{HttpVmList, VmList, VmListError};
pub use watch::{WatchEvent, WatchOptions};
