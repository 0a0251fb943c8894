//! A version of the routes.

use std::{collections::HashMap, sync::Arc};

use eel_types::Name;

use crate::{RequestLimits, Route};

/// All routes of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version; a higher one is newer.
    pub version: u64,
    /// What callers may send.
    pub limits: RequestLimits,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Arranges `routes` for lookup.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, limits: RequestLimits) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            limits,
            hosts,
        }
    }

    /// Finds the route of `host`, with or without a port, whose prefix is the longest that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let without_port = || self.find_exactly(host.rsplit_once(':')?.0, path);
        self.find_exactly(host, path).or_else(without_port)
    }

    fn find_exactly(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            lower.as_str()
        } else {
            host
        };
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}
