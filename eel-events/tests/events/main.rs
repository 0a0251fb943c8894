//! Tests of `eel-events`.

mod event_ends;
