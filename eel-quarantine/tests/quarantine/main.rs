//! Tests of the quarantine.

mod blamed_parts;
mod fixture;
mod peer_notices;
mod repeated_requests;
mod trials;
