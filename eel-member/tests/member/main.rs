//! Tests of `eel-member`.

mod event_properties;
mod event_tables;
mod fixture;
mod flap_hold;
mod subset_spread;
