//! Tests of `eel-ledger`.

mod doubtful_failures;
mod fixture;
mod held_texts;
mod item_queues;
mod job_owner;
mod job_tenant;
mod malformed_values;
mod next_item;
mod partial_texts;
mod recent_view;
mod result_positions;
mod submission;
