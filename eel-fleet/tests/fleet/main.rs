//! Tests of the decisions on targets.

mod batch_turns;
mod burst_load;
mod failing_target;
mod fixture;
mod idle_again;
mod live_peers;
mod load_reports;
mod stale_view;
mod store_lapse;
mod target_choice;
mod target_health;
mod waiting_requests;
