//! Tests of batch jobs.

mod fixture;
mod job_owner;
mod next_item;
mod result_positions;
mod submission;
