//! Tests of `eel-settings`.

mod bad_values;
mod example_files;
mod gateway_limits;
mod placement_choice;
