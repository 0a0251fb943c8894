//! Tests of `eel-supervise`.

mod bounded_restarts;
