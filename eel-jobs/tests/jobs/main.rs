//! Tests of batch job processing with real tasks, sockets and a stand-in store.

mod callers_api;
mod credit_demand;
mod entry_killed;
mod entry_paused;
mod fixture;
mod gated_store;
mod late_lease;
mod store_outage;
