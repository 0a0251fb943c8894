//! Integration tests of `eel-config`.

mod accept_latency;
mod fixture;
mod follow_faults;
mod peer_start;
mod revision_properties;
