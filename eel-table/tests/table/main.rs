//! Tests of route tables.

mod route_lookup;
mod traffic_split;
