//! Priority classes.

use serde::{Deserialize, Serialize};

/// The priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Alerts and limit checks: served before every other class.
    Urgent,
    /// Other online requests.
    Interactive,
    /// Items of batch jobs: served only by capacity that online classes leave idle.
    Batch,
}

impl Class {
    /// Returns `true` for the classes that a caller waits on.
    #[must_use]
    pub fn is_online(self) -> bool {
        !matches!(self, Self::Batch)
    }
}
