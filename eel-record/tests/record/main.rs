//! Tests of `eel-record`.

mod bad_records;
mod example_records;
mod schema_upgrade;
mod snapshot_rules;
mod unknown_fields;
