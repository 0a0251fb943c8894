//! The origins that a node has read from the store.

use std::collections::{HashMap, HashSet};

use crate::{Origin, OriginRecord, StreamId};

/// What the records say of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// It is recorded.
    Recorded(Origin),
    /// It is not recorded, so that it began at the default version of its service.
    NotRecorded,
    /// Two records contradict each other.
    Ambiguous,
}

/// All recorded streams.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<StreamId, Found>,
    origins: HashSet<Origin>,
}

impl Origins {
    /// Adds a record.
    pub fn add(&mut self, record: OriginRecord) {
        for (origin, streams) in record.streams {
            self.origins.insert(origin.clone());
            for stream in streams {
                let found = Found::Recorded(origin.clone());
                let known = self.streams.entry(stream).or_insert_with(|| found.clone());
                if *known != found {
                    *known = Found::Ambiguous;
                }
            }
        }
    }

    /// Returns what the records say of a stream.
    #[must_use]
    pub fn find(&self, stream: StreamId) -> Found {
        let found = self.streams.get(&stream).cloned();
        found.unwrap_or(Found::NotRecorded)
    }

    /// Returns whether a stream of the service is recorded as begun at another version than `version`.
    #[must_use]
    pub fn has_other_than(&self, service: &str, version: &str) -> bool {
        let mut origins = self.origins.iter();
        origins.any(|it| *it.service == *service && *it.version != *version)
    }
}
