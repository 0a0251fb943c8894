//! Tests of `eel-table`.

mod route_lookup;
mod traffic_split;
