//! Keys in what a node writes.
//!
//! Guards against a key in a log line, on the metrics page, in a response or in a stored record.

use std::{
    fmt::Write as _,
    sync::{Mutex, Once},
};

use eel_platform::standin::Behaviour;
use log::{Level, LevelFilter, Log, Metadata, Record, kv};
use serde_json::json;

use crate::{
    fixture::{events, wait_until},
    tenant_fixture::tenant_fleet,
};

/// A part of all keys of this test, and of nothing else in the process.
const MARK: &str = "k3yq7w";
/// A part of the ids of requests of this test, to show that lines are captured.
const ID: &str = "secret-r";

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps the log lines that have a key or an id of this test.
struct Capture;

struct Pairs<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value} {value:?}").map_err(|_| kv::Error::msg("not written"))
    }
}

impl Log for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = record.args().to_string();
        let visited = record.key_values().visit(&mut Pairs(&mut line));
        visited.expect("all pairs are visited");
        if line.contains(MARK) || line.contains(ID) || record.level() == Level::Error {
            LINES.lock().expect("the lines").push(line);
        }
    }

    fn flush(&self) {}
}

fn key(name: &str) -> String {
    format!("{MARK}-{name}")
}

#[tokio::test]
async fn no_key_is_shown() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Capture).expect("no other logger");
        log::set_max_level(LevelFilter::Trace);
    });
    let fleet = tenant_fleet(1, 2).await;
    let tenants = json!([
        {"name": "alpha", "apiKeys": [key("a1"), key("both"), 3, format!("{} {MARK}", key("x"))]},
        {"name": "beta", "apiKeys": [key("b1"), key("both")]},
        {"name": "gamma", "apiKeys": key("c1")},
        {"name": "delta", "apiKeys": [key("d1")], "priority": key("misplaced")},
        {"name": 5, "apiKeys": [key("e1")]},
        ["epsilon", key("f1")], key("g1"), {"apiKeys": [key("h1")]}
    ]);
    fleet.set_tenants(3, tenants).await;
    let mut texts = Vec::new();
    let behaviours = [Behaviour::Responds, Behaviour::Fails, Behaviour::Silent];
    for (number, first) in behaviours.into_iter().enumerate() {
        fleet.targets[0].share_script(&fleet.targets[1], &[first]);
        for (key, expected) in [
            (key("a1"), 200),
            (key("both"), 401),
            (key("c1"), 401),
            (key("d1"), 401),
            (key("unknown"), 401),
        ] {
            let id = format!("{ID}-{number}-{expected}");
            let request = fleet.post(0, "/idempotent/1", &id).header("api-key", &key);
            let response = request.send().await.expect("a response");
            assert_eq!(response.status(), expected, "{key}");
            texts.push(format!("{:?}", response.headers()));
            texts.push(response.text().await.expect("a text"));
        }
    }
    let stream = fleet.post(0, "/resumable-stream/1", &format!("{ID}-s"));
    let response = stream.header("api-key", key("a1")).send().await;
    assert!(events(response.expect("a response")).await.1);
    let items = json!({"items": [{
        "id": "i1", "path": "/jobs/1", "headers": {"Api-Key": key("a1"), "api-key ": key("b1")}, "body": ""
    }]});
    let submission = fleet
        .post(0, "/jobs/submit", "secret-j")
        .header("api-key", key("a1"));
    let response = submission.body(items.to_string()).send().await;
    assert_eq!(response.expect("a response").status(), 202);
    wait_until("the item runs", async || fleet.runs("i1") > 0).await;
    texts.push(fleet.metrics(0).await);
    let values = fleet.store.values("eelgrassgap/");
    assert!(values.len() > 2, "records are stored");
    texts.extend(
        values
            .iter()
            .map(|it| String::from_utf8_lossy(it).into_owned()),
    );
    texts.extend(fleet.store.keys("eelgrassgap/"));
    let lines = LINES.lock().expect("the lines").clone();
    assert!(lines.iter().any(|it| it.contains(ID)), "lines are captured");
    texts.extend(lines);
    let found: Vec<_> = texts.iter().filter(|it| it.contains(MARK)).collect();
    assert!(found.is_empty(), "{found:?}");
}
