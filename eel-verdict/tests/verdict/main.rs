//! Tests of `eel-verdict`.

mod combine;
