//! Tests of the batch crate.

mod chunk_codec;
mod claim_order;
mod job_admission;
mod job_plan;
mod model;
mod run_once;
mod runner_events;
