//! A fleet whose manifest has tenants, and a caller that writes the bytes of its requests itself.

use std::time::Duration;

use eel_platform::standin::{HOST, routes};
use reqwest::RequestBuilder;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::fixture::{Fleet, fleet, wait_until};

/// The time within which a caller must have the response to what it has sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Two tenants: `alpha` with the keys `a1` and `a2`, `beta` with `b1`.
pub fn tenants() -> Value {
    json!([
        {"name": "alpha", "apiKeys": ["a1", "a2"], "priority": 0},
        {"name": "beta", "apiKeys": ["b1"], "priority": 1, "ratePerS": 1000, "burst": 1000}
    ])
}

/// Starts a fleet with the routes of version 2, which have [`tenants`] and a route `open` that needs no key.
pub async fn tenant_fleet(nodes: usize, targets: usize) -> Fleet {
    let fleet = fleet(nodes, targets).await;
    fleet.set_tenants(2, tenants()).await;
    fleet
}

impl Fleet {
    /// Writes the routes with tenants, and waits until they are in force at all nodes.
    pub async fn set_tenants(&self, version: u64, tenants: Value) {
        let mut table = routes(version);
        let mut open = table["routes"][0].clone();
        open["name"] = "open".into();
        open["pathPrefix"] = "/open/".into();
        open["noAuth"] = true.into();
        table["routes"].as_array_mut().expect("routes").push(open);
        table["tenants"] = tenants;
        self.store.put("op/config", &table.to_string());
        let expected = format!("eelgrassgap_route_table_version {version}");
        for node in 0..self.nodes.len() {
            wait_until("the routes are in force", async || {
                self.metrics(node).await.contains(&expected)
            })
            .await;
        }
    }

    /// Returns a call about a job; `path` is `lots/JOB` or `items/JOB`, with the query.
    pub fn job_call(&self, method: &str, node: usize, path: &str) -> RequestBuilder {
        let url = format!("http://{}/eelgrassgap/{path}", self.nodes[node].http);
        let method = method.parse().expect("a method");
        self.client.request(method, url).header("host", HOST)
    }
}

/// Sends a request with a key; an empty one is left out. Returns the status.
pub async fn status(request: RequestBuilder, key: &str) -> u16 {
    let request = match key {
        "" => request,
        key => request.header("api-key", key),
    };
    request.send().await.expect("a response").status().as_u16()
}

/// A connection of a caller.
pub struct RawCaller(TcpStream);

impl RawCaller {
    pub async fn connect(fleet: &Fleet, node: usize) -> Self {
        let stream = TcpStream::connect(fleet.nodes[node].http).await;
        Self(stream.expect("a connection"))
    }

    /// Returns the head of a request with a body of 4 bytes; `headers` are whole lines.
    pub fn head(path: &str, id: &str, headers: &str) -> String {
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Eelgrassgap-Attempt-Id: {id}\r\nContent-Length: 4\r\n{headers}\r\n"
        )
    }

    pub async fn write(&mut self, text: &str) {
        let written = self.0.write_all(text.as_bytes()).await;
        written.expect("the request is sent");
    }

    /// Reads the next response, whose length must be stated; returns the status.
    pub async fn status(&mut self) -> u16 {
        let head = timeout(RESPONSE_TIMEOUT, async {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(self.0.read_u8().await.expect("a response"));
            }
            String::from_utf8(head)
                .expect("a text")
                .to_ascii_lowercase()
        });
        let head = head.await.expect("a response in time");
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |it| it.trim().parse().expect("a length"));
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.expect("a body");
        let status = head.split(' ').nth(1).expect("a status");
        status.parse().expect("a number")
    }
}
