//! What a route table says of a service.

use eel_types::Name;

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: Name,
    /// The connections that one of its targets accepts from all callers together.
    pub max_connections: Option<u32>,
    /// The requests that one of its targets runs at once, where it is a model engine.
    pub engine_slots: Option<u32>,
}
