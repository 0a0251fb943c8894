//! Messages between entry and target nodes, their codec and the QUIC links that carry them.
//!
//! A link is one QUIC connection from an entry node to a target node, authenticated both ways by the fleet's
//! certificate authority. Its first bidirectional stream carries control messages; every request has a bidirectional
//! stream of its own, so that a long answer never blocks a short one.

pub mod codec;
pub mod credentials;
mod endpoint;
mod error;
pub mod message;

pub use endpoint::{EndpointOptions, bind_client, bind_server, connect};
pub use error::Error;
