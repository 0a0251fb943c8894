//! The validated configuration at one revision.

use std::collections::BTreeMap;

use eel_types::{Name, Revision};
use serde::{Deserialize, Serialize};

use crate::{CallerSpec, ModelSpec, ServiceSpec};

/// Every record in force at one revision of the key-value service, in current form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that this snapshot reflects.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceSpec>,
    /// Models by name.
    pub models: BTreeMap<Name, ModelSpec>,
    /// Callers by name.
    pub callers: BTreeMap<Name, CallerSpec>,
}
