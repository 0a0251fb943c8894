//! Tests of `eel-fleet`.

mod absent_services;
mod batch_order;
mod burst_load;
mod callers_model;
mod failing_target;
mod fixture;
mod idle_again;
mod lease_expiry;
mod leaving_target;
mod limited_load;
mod limited_targets;
mod live_peers;
mod load_reports;
mod quota_model;
mod report_parts;
mod shared_limits;
mod target_choice;
mod target_health;
mod target_versions;
mod tenant_order;
mod tenant_quotas;
mod uneven_fleet;
mod uneven_targets;
mod waiting_requests;
mod warming_targets;
