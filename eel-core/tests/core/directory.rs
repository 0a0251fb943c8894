//! Test fixture: directories of declarations, and a store to apply them to.

use std::{fs, path::Path};

use eel_core::{apply, plan};
use eel_standin::kv::KvServer;
use eel_store::{EtcdJson, EtcdOptions};
use serde_json::{Value, json};
use tempfile::TempDir;

pub const PREFIX: &str = "/fleet";
pub const NOW_UNIX_MS: u64 = 1_800_000_000_000;

/// An operator with its own directory of declarations.
pub struct Operator {
    pub directory: TempDir,
    pub token: &'static str,
    pub prefix: String,
}

impl Operator {
    pub fn new(token: &'static str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        Self {
            directory,
            token,
            prefix: PREFIX.to_owned(),
        }
    }

    /// Creates an operator with a copy of another operator's directory.
    pub fn clone_of(other: &Self, token: &'static str) -> Self {
        let mut operator = Self::new(token);
        operator.prefix.clone_from(&other.prefix);
        for entry in fs::read_dir(other.directory.path()).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap();
            fs::copy(&path, operator.directory.path().join(name)).unwrap();
        }
        operator
    }

    pub fn declare(&self, name: &str, slots: u32) {
        self.write(name, &service(name, slots));
    }

    pub fn write(&self, name: &str, record: &Value) {
        fs::write(self.path(name), record.to_string()).unwrap();
    }

    pub fn remove(&self, name: &str) {
        fs::remove_file(self.path(name)).unwrap();
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        self.directory.path().join(format!("{name}.json"))
    }

    pub fn options(&self) -> plan::Options {
        plan::Options {
            directory: self.directory.path().to_owned(),
            ..plan::Options::default()
        }
    }

    pub fn context<'a>(&'a self, store: &'a EtcdJson) -> apply::Context<'a, EtcdJson> {
        apply::Context {
            store,
            prefix: &self.prefix,
            token: self.token,
            now_unix_ms: NOW_UNIX_MS,
        }
    }

    pub async fn prepare(&self, store: &EtcdJson) -> apply::Prepared {
        apply::prepare(&self.options(), &self.context(store))
            .await
            .unwrap()
    }

    pub async fn commit(&self, prepared: apply::Prepared, store: &EtcdJson) -> apply::Outcome {
        apply::commit(prepared, &self.context(store)).await.unwrap()
    }

    pub async fn apply(&self, store: &EtcdJson) -> apply::Outcome {
        self.apply_with(&self.options(), store).await
    }

    pub async fn apply_with(&self, options: &plan::Options, store: &EtcdJson) -> apply::Outcome {
        apply::apply(options, &self.context(store)).await.unwrap()
    }
}

pub fn service(name: &str, slots: u32) -> Value {
    json!({ "schema": 1, "kind": "service", "name": name,
        "spec": { "pool": "p", "protocol": "plain", "slots": slots } })
}

pub fn connect(server: &KvServer) -> EtcdJson {
    connect_within(server, 2_000)
}

pub fn connect_within(server: &KvServer, call_timeout_ms: u64) -> EtcdJson {
    let options = EtcdOptions {
        call_timeout_ms,
        ..EtcdOptions::new(server.url())
    };
    EtcdJson::new(&options).unwrap()
}

/// Reads the slots of each service of the fleet with [`PREFIX`].
pub async fn slots(store: &EtcdJson) -> Vec<(String, u64)> {
    slots_of(store, PREFIX).await
}

/// Reads the slots of each service of the fleet with `prefix`.
pub async fn slots_of(store: &EtcdJson, prefix: &str) -> Vec<(String, u64)> {
    let stored = eel_core::read_records(store, prefix).await.unwrap();
    let records = stored.records.into_iter();
    let slots = records.map(|(key, entry)| {
        let slots = entry.content()["spec"]["slots"].as_u64().unwrap();
        (key.name.to_string(), slots)
    });
    slots.collect()
}

pub fn has_lock(directory: &Path) -> bool {
    directory.join(eel_core::LOCK_FILE).exists()
}
