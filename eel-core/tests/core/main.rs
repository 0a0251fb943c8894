//! Tests of `eel-core`.

mod apply_faults;
mod declared_jobs;
mod directory;
mod explained_logs;
mod job_client;
mod key_files;
mod plan_diff;
mod racing_operators;
mod status_view;
