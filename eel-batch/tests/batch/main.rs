//! Tests of `eel-batch`.

mod chunk_codec;
mod claim_faults;
mod claim_order;
mod job_admission;
mod job_plan;
mod model;
mod run_once;
mod runner_events;
mod store_calls;
mod store_fixture;
mod submit_faults;
