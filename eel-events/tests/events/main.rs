//! Tests of `eel-events`.

mod event_ends;
mod event_fields;
