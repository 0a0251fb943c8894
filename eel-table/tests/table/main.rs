//! Tests of `eel-table`.

mod route_lookup;
mod tenant_lookup;
mod traffic_split;
