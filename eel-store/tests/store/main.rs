//! Tests of `eel-store`: its HTTP clients must fulfil the contract of the interfaces, against stand-in services.

mod endless_bytes;
mod fixture;
mod key_contract;
mod lease_contract;
mod long_messages;
mod lost_answers;
mod vm_list;
mod watch_contract;
mod write_faults;
