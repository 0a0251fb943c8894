//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Alerts and limit checks; served before every other class.
    Urgent,
    /// Online requests that are not urgent.
    Interactive,
    /// Items of batch jobs; served only with capacity that the online classes leave idle.
    Batch,
}

impl Class {
    /// Returns `true` for the classes whose callers wait for the response.
    #[must_use]
    pub fn is_online(self) -> bool {
        !matches!(self, Self::Batch)
    }
}
