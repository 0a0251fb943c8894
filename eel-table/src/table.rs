//! The lookup of routes by host and path.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use eel_types::Name;

use crate::{RequestLimits, Route, Tenants};

/// All routes of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version of the table; a higher one is newer.
    pub version: u64,
    /// Limits of the requests of all callers.
    pub limits: RequestLimits,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    tenants: Option<Arc<Tenants>>,
    longest_stream_ms: u64,
    split_services: BTreeSet<Name>,
}

impl RouteTable {
    /// Builds a table that looks up `routes` by host and longest path prefix.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, limits: RequestLimits) -> Self {
        let resumable = routes.iter().filter(|route| route.kind.is_resumable());
        let longest_stream_ms = resumable.map(|route| route.timeout_ms).max().unwrap_or(0);
        let split = routes.iter().filter(|route| route.shares.len() > 1);
        let split_services =
            split.flat_map(|route| route.shares.iter().map(|it| it.service.clone()));
        let split_services = split_services.collect();
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
            tenants: None,
            longest_stream_ms,
            split_services,
        }
    }

    /// Sets the tenants, one of whose keys each request needs unless its route has `no_auth`.
    #[must_use]
    pub fn with_tenants(self, tenants: Tenants) -> Self {
        Self {
            tenants: Some(Arc::new(tenants)),
            ..self
        }
    }

    /// Returns the tenants; `None` if requests need no keys.
    #[must_use]
    pub fn tenants(&self) -> Option<&Arc<Tenants>> {
        self.tenants.as_ref()
    }

    /// Returns the longest timeout of the routes whose streams can be resumed, in ms; 0 if there are none.
    #[must_use]
    pub fn longest_stream_ms(&self) -> u64 {
        self.longest_stream_ms
    }

    /// Returns the services that share the requests of a route with others.
    #[must_use]
    pub fn split_services(&self) -> &BTreeSet<Name> {
        &self.split_services
    }

    /// Returns the route of `host`, given with or without a port, that has the longest path prefix of `path`; `None` if
    /// no route matches.
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
