//! Tests of `eel-member`.

mod decision_cost;
mod event_properties;
mod event_tables;
mod fixture;
mod flap_hold;
mod subset_spread;
