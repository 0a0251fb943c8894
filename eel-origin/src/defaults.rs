//! The default version of each service.
//!
//! A stream that began at the default version is not recorded, so a default version may change only when no such stream
//! can be taken up any more: its targets must have been gone for a while.

use std::collections::{BTreeMap, HashMap};

use eel_types::Name;

/// A change of a default version that has to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultChange {
    /// The service.
    pub service: Name,
    /// Its new default version.
    pub version: Name,
    /// The store revision of the value that is replaced; `None` if there is none.
    pub replaced_revision: Option<u64>,
}

#[derive(Clone, Debug)]
struct ServiceDefault {
    version: Name,
    revision: u64,
    /// Since when no target of the version has been listed, as far as this node knows.
    gone_since_ms: Option<u64>,
}

/// The default versions that are stored.
#[derive(Debug, Default)]
pub struct Defaults {
    services: HashMap<Name, ServiceDefault>,
}

impl Defaults {
    /// Applies a stored default version.
    pub fn on_stored(&mut self, service: &Name, version: &Name, revision: u64) {
        let known = self.services.get(service);
        if known.is_some_and(|it| it.revision >= revision) {
            return;
        }
        let stored = ServiceDefault {
            version: version.clone(),
            revision,
            gone_since_ms: None,
        };
        self.services.insert(service.clone(), stored);
    }

    /// Returns the default version of a service; `None` if there is none yet, so that all streams are recorded.
    #[must_use]
    pub fn version(&self, service: &str) -> Option<&Name> {
        self.services.get(service).map(|it| &it.version)
    }

    /// Records that this node may have missed changes of the listed targets.
    pub fn on_gap(&mut self) {
        for service in self.services.values_mut() {
            service.gone_since_ms = None;
        }
    }

    /// Returns the change that a service needs. `listed` holds the versions of its targets, with the number of targets
    /// that are not about to leave. A default version is replaced once none of its targets has been listed for `gone_ms`.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        gone_ms: u64,
        service: &Name,
        listed: &BTreeMap<Name, u32>,
    ) -> Option<DefaultChange> {
        let most = listed.iter().filter(|(_, count)| **count > 0);
        let most = most.max_by_key(|(_, count)| **count).map(|(it, _)| it);
        let replaced_revision = match self.services.get_mut(service) {
            None => None,
            Some(default) if listed.contains_key(&default.version) => {
                default.gone_since_ms = None;
                return None;
            }
            Some(default) => {
                let since_ms = *default.gone_since_ms.get_or_insert(now_ms);
                if now_ms < since_ms + gone_ms {
                    return None;
                }
                Some(default.revision)
            }
        };
        Some(DefaultChange {
            service: service.clone(),
            version: most?.clone(),
            replaced_revision,
        })
    }
}
