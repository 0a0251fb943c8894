//! One node as a process, with a store but no targets yet, and a client.

use eel_platform::standin::{HOST, StandInStore, routes};
use reqwest::{Client, RequestBuilder};
use tempfile::TempDir;

use crate::{ports::Ports, process::Process};

pub struct Fixture {
    pub store: StandInStore,
    pub node: Process,
    pub client: Client,
    _ports: Ports,
    _directory: TempDir,
}

impl Fixture {
    pub async fn start() -> Self {
        let store = StandInStore::start().await.expect("a store");
        store.put("op/config", &routes(1).to_string());
        let directory = tempfile::tempdir().expect("a directory");
        let mut ports = Ports::reserve();
        let (path, address) = (directory.path(), store.address());
        let node = Process::start(path, &mut ports, "node-0", address, true);
        let client = Client::builder().no_proxy().build().expect("a client");
        Self {
            store,
            node,
            client,
            _ports: ports,
            _directory: directory,
        }
    }

    /// Returns a request of the route that the start of `path` names.
    pub fn post(&self, path: &str, id: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.node.http))
            .header("host", HOST)
            .header("x-eelgrassgap-attempt-id", id)
            .header("x-eelgrassgap-deadline-ms", "2500")
            .body("body")
    }
}
