//! The log lines that `explain` finds by the id of a failed request or item must name the cause.
//!
//! Guards against a failure that an operator cannot explain, which happens when the line about its cause lacks the id,
//! the target, the verdict or the state of the queue.

use std::time::Duration;

use eel_core::explain::{Line, Options, explain};
use eel_platform::standin::{Behaviour, StandInTarget};
use reqwest::RequestBuilder;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::fixture::Fixture;

/// Upper bound of the wait for a log line; a longer wait counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);

struct Fleet {
    fixture: Fixture,
    target: StandInTarget,
}

async fn start_fleet() -> Fleet {
    let (fixture, target) = Fixture::start_served().await;
    Fleet { fixture, target }
}

impl Fleet {
    fn post(&self, path: &str, id: &str) -> RequestBuilder {
        let request = self.fixture.post(path, id);
        request.header("x-eelgrassgap-deadline-ms", "1500")
    }

    async fn send(&self, path: &str, id: &str) -> Option<u16> {
        let response = self.post(path, id).send().await.ok()?;
        Some(response.status().as_u16())
    }

    /// Waits for a log line about `id` whose message starts with `message`, and returns the first.
    async fn wait_line(&self, id: &str, message: &str) -> Line {
        let options = Options {
            id: id.into(),
            files: vec![self.fixture.node.log_path()],
        };
        let found = async {
            loop {
                let lines = explain(&options).expect("a log").lines;
                if let Some(line) = lines
                    .into_iter()
                    .find(|line| line.message.starts_with(message))
                {
                    return line;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let found = timeout(HANG_TIMEOUT, found).await;
        found.unwrap_or_else(|_| {
            panic!(
                "no line {message:?} about {id}\n{}",
                self.fixture.node.log_tail()
            )
        })
    }
}

#[tokio::test]
async fn rejected_under_load() {
    let fleet = start_fleet().await;
    fleet.target.set_default_behaviour(Behaviour::Silent);
    let sends = (0..6).map(|number| {
        let request = fleet.post("/once/1", &format!("crowd-{number}"));
        tokio::spawn(request.send())
    });
    let mut rejected = None;
    for (number, sent) in sends.collect::<Vec<_>>().into_iter().enumerate() {
        let response = sent.await.expect("a task").expect("a response");
        if response.status().as_u16() == 503 {
            rejected = Some(format!("crowd-{number}"));
        }
    }
    let line = fleet
        .wait_line(
            &rejected.expect("a rejected request among six for two slots"),
            "A request found no slot in time.",
        )
        .await;
    assert_eq!(line.fields["service"], "scribe");
    assert!(
        line.fields["expected_wait_ms"].as_u64() > Some(0),
        "{line:?}"
    );
    assert!(
        line.fields.contains_key("ahead") && line.fields.contains_key("slots"),
        "{line:?}"
    );
}

#[tokio::test]
async fn may_have_run() {
    let fleet = start_fleet().await;
    fleet
        .target
        .set_default_behaviour(Behaviour::RespondsWithOtherId);
    assert_eq!(fleet.send("/once/1", "unlucky").await, Some(502));
    let attempt = fleet
        .wait_line(
            "unlucky",
            "An attempt brought no answer: the answer is broken.",
        )
        .await;
    assert_eq!(attempt.fields["target_id"], "i-0");
    assert_eq!(
        (&attempt.fields["verdict"], &attempt.fields["again"]),
        (&json!("may-have-run"), &json!(false))
    );
    let decided = fleet.wait_line("unlucky", "A request was decided.").await;
    assert_eq!(
        (&decided.fields["status"], &decided.fields["routes_version"]),
        (&json!(502), &json!(1))
    );
}

#[tokio::test]
async fn refused_without_proof() {
    let fleet = start_fleet().await;
    let target = &fleet.target;
    target.set_default_behaviour(Behaviour::RefusesAfterRun);
    assert_eq!(fleet.send("/once/1", "unproven").await, Some(502));
    let response = fleet
        .wait_line("unproven", "A response from a target is not used")
        .await;
    assert_eq!(response.fields["target_id"], "i-0");
    assert_ne!(response.fields["status"], 502);
    let decided = fleet.wait_line("unproven", "A request was decided.").await;
    assert_eq!(decided.fields["verdict"], "may-have-run");
    target.set_default_behaviour(Behaviour::Full);
    assert_eq!(fleet.send("/once/1", "proven").await, Some(503));
    let attempt = fleet
        .wait_line("proven", "An attempt brought no answer")
        .await;
    assert_eq!(attempt.fields["evidence"], "refused");
    let decided = fleet.wait_line("proven", "A request was decided.").await;
    assert_eq!(decided.fields["verdict"], "not-run");
}

#[tokio::test]
async fn errored_item() {
    let fleet = start_fleet().await;
    fleet.target.set_default_behaviour(Behaviour::RejectsItem);
    let items = json!({"items": [{"id": "sad-item", "path": "/jobs/stream", "body": ""}]});
    let request = fleet.fixture.post("/jobs/submit", "sad-job");
    let response = request.body(items.to_string()).send().await;
    let response = response.expect("a response");
    assert_eq!(response.status().as_u16(), 202);
    let run = fleet.wait_line("sad-item", "A run of an item ended.").await;
    assert_eq!(
        (&run.fields["outcome"], &run.fields["job"]),
        (&json!("impossible"), &json!("sad-job"))
    );
    assert_eq!(run.fields["status"], 422);
    for field in ["is_signed", "local_port", "is_kept"] {
        assert!(run.fields.contains_key(field), "{run:?}");
    }
    let errored = fleet.wait_line("sad-item", "An item has no output.").await;
    assert_eq!(
        (&errored.fields["cause"], &errored.fields["job"]),
        (&json!("rejected"), &json!("sad-job"))
    );
    assert!(errored.fields["left_ms"].as_u64() > Some(0), "{errored:?}");
    fleet.wait_line("sad-job", "Results were listed.").await;
}
