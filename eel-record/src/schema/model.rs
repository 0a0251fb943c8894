//! Schemas of model records.

use eel_types::Name;
use serde::{Deserialize, Serialize};

use super::Schema;
use crate::{ModelSpec, ModelVersion};

const FULL_SHARE_PERCENT: u8 = 100;

/// Schema 1: a single version of the model.
#[derive(Serialize, Deserialize)]
pub struct ModelV1 {
    version: Name,
    weights: Name,
    #[serde(default)]
    adapters: Vec<Name>,
}

/// Schema 2: several versions that share the pool.
#[derive(Serialize, Deserialize)]
pub struct ModelV2 {
    versions: Vec<ModelVersion>,
    #[serde(default)]
    adapters: Vec<Name>,
}

impl Schema for ModelV1 {
    type Current = ModelSpec;

    fn upgrade(self) -> ModelSpec {
        let version = ModelVersion {
            name: self.version,
            weights: self.weights,
            share_percent: FULL_SHARE_PERCENT,
        };
        ModelSpec {
            versions: vec![version],
            adapters: self.adapters,
        }
    }

    fn source_path(field: &str) -> String {
        match field {
            "versions[0].name" => "version".to_owned(),
            "versions[0].weights" => "weights".to_owned(),
            _ => field.to_owned(),
        }
    }
}

impl Schema for ModelV2 {
    type Current = ModelSpec;

    fn upgrade(self) -> ModelSpec {
        ModelSpec {
            versions: self.versions,
            adapters: self.adapters,
        }
    }

    fn source_path(field: &str) -> String {
        field.to_owned()
    }
}
