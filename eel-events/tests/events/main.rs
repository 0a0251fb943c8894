//! Tests of `eel-events`.

mod continued_stream;
mod event_ends;
mod event_fields;
