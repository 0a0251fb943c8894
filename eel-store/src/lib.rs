//! Clients of the platform's key-value service and its VM list.
//!
//! [`KeyValue`] is the interface to the key-value service; [`EtcdJson`] implements it with the JSON mapping of etcd v3.
//! [`commit_and_resolve`] finds out whether a write whose response was lost took effect. [`VmList`] is the interface to
//! the platform's list of VMs.

mod body;
mod call_kind;
mod error;
mod etcd;
mod interim;
mod key_value;
mod lease;
mod range;
mod resolve;
mod txn;
mod vm_list;
mod watch;

pub use body::{BodyError, read_body};
pub use call_kind::CallKind;
pub use error::{RejectReason, StoreError, StoreResult};
pub use etcd::{EtcdJson, EtcdOptions};
pub use interim::many_interim;
pub use key_value::KeyValue;
pub use lease::{Lease, LeaseId};
pub use range::{KeyValuePair, RangeOutcome, RangeRequest};
pub use resolve::{CommitOutcome, WriteToken, commit_and_resolve};
pub use txn::{Compare, Op, OpOutcome, Txn, TxnOutcome};
pub use vm_list::{HttpVmList, VmList, VmListError};
pub use watch::{WatchEvent, WatchOptions};
