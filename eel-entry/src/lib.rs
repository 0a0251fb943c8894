//! The entry node: HTTP in, QUIC to target nodes, batch jobs from the store.
