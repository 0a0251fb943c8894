//! Tests of `eel-store`: the contract of its edges, kept by the HTTP clients against the stand-ins.

mod fixture;
mod key_contract;
mod lease_contract;
mod lost_answers;
mod vm_list;
mod watch_contract;
mod write_faults;
