//! Tenants: the callers that share a name, a priority and a quota, and the keys that identify them.

use std::{collections::HashMap, fmt, sync::Arc};

use eel_types::Name;

/// The maximum length of a key, in bytes. Callers' longer keys are unknown, and the operator's are ignored.
pub const MAX_KEY_BYTES: usize = 256;

/// A group of callers to whom the operator has given keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name, which targets receive.
    pub name: Name,
    /// The priority, which goes before the route's; 0 is the most urgent.
    pub priority: u8,
    /// The limit on the rate of requests at all nodes together; `None` if there is none.
    pub quota: Option<TenantQuota>,
}

/// The limit on the rate of a tenant's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantQuota {
    /// The sustained rate, in requests per 1,000 s; at least 1.
    pub per_1000_s: u64,
    /// The number of requests that may come at once beyond the sustained rate.
    pub burst: u64,
}

/// The tenants of one version of the routes, by their keys. Its debug output has no keys.
#[derive(Clone, Default)]
pub struct Tenants {
    by_key: HashMap<Box<str>, Arc<Tenant>>,
    all: Vec<Arc<Tenant>>,
}

impl Tenants {
    /// Builds the lookup from tenants and their keys. A key that two tenants claim identifies neither.
    #[must_use]
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<Box<str>>)>) -> Self {
        let mut claims: HashMap<Box<str>, Option<Arc<Tenant>>> = HashMap::new();
        let mut all = Vec::new();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            all.push(Arc::clone(&tenant));
            for key in keys {
                claims
                    .entry(key)
                    .and_modify(|it| {
                        if it.as_ref().is_some_and(|it| it.name != tenant.name) {
                            *it = None;
                        }
                    })
                    .or_insert_with(|| Some(Arc::clone(&tenant)));
            }
        }
        let by_key = claims
            .into_iter()
            .filter_map(|(key, tenant)| Some((key, tenant?)))
            .collect();
        Self { by_key, all }
    }

    /// Returns the tenant that holds `key`; `None` if the key is unknown.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns all tenants, also those without keys.
    #[must_use]
    pub fn all(&self) -> &[Arc<Tenant>] {
        &self.all
    }

    /// Returns the number of keys that identify a tenant.
    #[must_use]
    pub fn keys_len(&self) -> usize {
        self.by_key.len()
    }
}

impl fmt::Debug for Tenants {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenants")
            .field("tenants", &self.all.len())
            .field("keys", &self.by_key.len())
            .finish()
    }
}
