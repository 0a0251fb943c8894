//! Messages between entry and target nodes, their codec and the QUIC links that carry them.
//!
//! A link is one QUIC connection from an entry node to a target node. Both ends authenticate with certificates of the
//! fleet's certificate authority. The first bidirectional stream carries control messages. Each request has its own
//! bidirectional stream, so that a long reply does not block a short one.

pub mod codec;
pub mod credentials;
mod endpoint;
mod error;
pub mod message;

pub use endpoint::{EndpointOptions, bind_client, bind_server, close_drained, connect, is_drained};
pub use error::Error;
