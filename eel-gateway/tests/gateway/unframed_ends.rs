//! Responses without a length, which end with their connection, at targets that end, live on or say nothing.
//!
//! Guards against a crash that is taken for the end of a response, and against what a question about the rest may spoil.

use std::{sync::Arc, time::Duration};

use eel_platform::standin::{Behaviour, Rest, UnframedScript, UnframedTarget};
use serde_json::{Value, json};

use crate::fixture::{Fleet, events, fleet, orphaned_fleet, wait_until};

const WHOLE: &str = "word1\nword2\nword3\nword4\nword5";
/// The time in which a node reads what was sent to it.
const READ_TIME: Duration = Duration::from_millis(20);
const NEVER: Duration = Duration::from_mins(1);

struct Unframed {
    fleet: Fleet,
    script: Arc<UnframedScript>,
    targets: Vec<UnframedTarget>,
}

async fn unframed(targets: usize, script: UnframedScript) -> Unframed {
    let script = Arc::new(script);
    let mut fleet = fleet(0, 0).await;
    let mut all = Vec::new();
    for number in 0..targets {
        let id = format!("i-{number}");
        let target = UnframedTarget::start(&fleet.store, &id, script.clone()).await;
        all.push(target.expect("a target"));
    }
    fleet.add_node("node-0", true).await;
    Unframed {
        fleet,
        script,
        targets: all,
    }
}

impl Unframed {
    async fn item(&self) -> Value {
        assert_eq!(self.fleet.submit(0, "j1", &["stream/1"]).await, 202);
        self.fleet.results(0, "j1", 1).await.remove(0)
    }

    /// Returns the ids of a stream's events and whether it is complete.
    async fn stream(&self, route: &str) -> (Vec<u64>, bool) {
        let sent = self.fleet.post(0, &format!("/{route}/1"), "r1").send();
        events(sent.await.expect("a response")).await
    }
}

fn is_whole(result: &Value) -> bool {
    result["state"] == "completed" && result["text"] == WHOLE
}

#[tokio::test]
async fn crashed_items() {
    let mut wrong = Vec::new();
    for (sent, pause_ms) in (1..=5).flat_map(|sent| [0, 20, 100].map(|it| (sent, it))) {
        let mut script = UnframedScript::new(2, sent, Rest::Empty);
        script.pause = Duration::from_millis(pause_ms);
        let fleet = unframed(3, script).await;
        let result = fleet.item().await;
        let crashes = fleet.targets.iter().filter(|it| it.has_crashed()).count();
        if !is_whole(&result) || crashes == 0 {
            wrong.push((sent, pause_ms, result, fleet.script.requests("j1-0")));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn crashed_streams() {
    // After the second crash no attempt is left, so that the stream must not end as complete.
    let mut wrong = Vec::new();
    for (sent, crashes) in (1..=5).flat_map(|sent| [1, 2].map(|it| (sent, it))) {
        let fleet = unframed(3, UnframedScript::new(crashes, sent, Rest::Empty)).await;
        let (ids, is_complete) = fleet.stream("resumable-stream").await;
        let is_prefix = ids.iter().copied().eq((1..).take(ids.len()));
        if !is_prefix || is_complete != (crashes == 1) || (is_complete && ids.len() != 5) {
            wrong.push((sent, crashes, ids, is_complete));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn odd_rests() {
    // Whether a live target has said that nothing follows. If not, other targets are asked, and a stream has no end.
    let mut rests = vec![
        (Rest::Empty, true),
        (Rest::FromStart, true),
        (Rest::Silent, false),
        (Rest::Closed, false),
    ];
    let statuses = [
        (422, true),
        (400, true),
        (404, true),
        (416, true),
        (500, false),
        (503, false),
    ];
    rests.extend(statuses.map(|(status, is_said)| (Rest::Status(status), is_said)));
    let mut wrong = Vec::new();
    for (rest, is_said) in rests {
        let fleet = unframed(2, UnframedScript::new(0, 5, rest)).await;
        let stream = fleet.stream("resumable-stream").await;
        let result = fleet.item().await;
        let requests = fleet.script.requests("j1-0");
        let asked: &[u64] = if is_said { &[0, 5] } else { &[0, 5, 5, 5] };
        let is_settled = requests == asked && stream == (vec![1, 2, 3, 4, 5], is_said);
        let crashed = unframed(2, UnframedScript::new(1, 5, rest)).await;
        let later = crashed.item().await;
        let is_bounded = crashed.script.requests("j1-0").len() <= 7;
        if !is_whole(&result) || !is_settled || !is_whole(&later) || !is_bounded {
            wrong.push((rest, result, requests, stream, later));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn calm_items() {
    let fleet = unframed(2, UnframedScript::new(0, 5, Rest::Empty)).await;
    assert_eq!(fleet.fleet.submit(0, "j1", &["stream/1"; 40]).await, 202);
    let results = fleet.fleet.results(0, "j1", 40).await;
    assert!(results.iter().all(is_whole), "{results:?}");
    for item in 0..40 {
        let requests = fleet.script.requests(&format!("j1-{item}"));
        assert_eq!(requests, [0, 5], "one whole run and one question");
    }
}

#[tokio::test]
async fn silent_process() {
    // It leaves as many questions unanswered as one ending brings.
    let script = UnframedScript::new(0, 5, Rest::Empty);
    script
        .unanswered
        .store(3, std::sync::atomic::Ordering::Relaxed);
    let fleet = unframed(2, script).await;
    let result = fleet.item().await;
    assert!(is_whole(&result), "{result}");
    assert_eq!(fleet.script.requests("j1-0"), [0, 5]);
}

#[tokio::test]
async fn crash_of_suspects() {
    // A crash as a stream begins counts against its prompt, however the connection ends.
    let parts = json!({"x-eelgrassgap-prefix-hash": "abc1:10,abc2:10"});
    let fleet = unframed(3, UnframedScript::new(1, 1, Rest::Empty)).await;
    let items = [("/jobs/stream/1".into(), parts)];
    let submitted = fleet.fleet.submit_items("jobs", 0, "j1", &items).await;
    assert_eq!(submitted, 202);
    assert!(is_whole(&fleet.fleet.results(0, "j1", 1).await[0]));
    let metrics = fleet.fleet.metrics(0).await;
    assert!(
        metrics.contains("eelgrassgap_early_ends_total 1"),
        "{metrics}"
    );
}

#[tokio::test]
async fn streams_that_cannot_resume() {
    // A stream is cut only where its target has ended without a notice; a plain response never is.
    for (path, is_leaving, is_complete) in [
        ("once-stream", false, false),
        ("once-stream", true, true),
        ("once", false, true),
    ] {
        let mut script = UnframedScript::new(1, 5, Rest::Empty);
        script.pause = if is_leaving { NEVER } else { READ_TIME };
        let fleet = unframed(1, script).await;
        let leaves = async {
            if !is_leaving {
                return;
            }
            let has_run = async || !fleet.script.requests("r1").is_empty();
            wait_until("the request runs", has_run).await;
            fleet.fleet.store.remove("servers/i-0");
            let is_unused = async || {
                let sent = fleet.fleet.post(0, "/idempotent/1", "r2").send();
                sent.await.is_ok_and(|it| it.status() == 503)
            };
            wait_until("the node knows that the target leaves", is_unused).await;
            fleet.targets[0].crash();
        };
        let sent = fleet.fleet.post(0, &format!("/{path}/1"), "r1").send();
        let (sent, ()) = tokio::join!(sent, leaves);
        let (_, is_whole) = events(sent.expect("a response")).await;
        assert_eq!(is_whole, is_complete, "{path}, leaving: {is_leaving}");
    }
}

#[tokio::test]
async fn rejected_after_takeover() {
    // What is saved of a text may be all of it, so that its target may reject a request for more.
    for behaviour in [Behaviour::RejectsItem, Behaviour::Fails] {
        let mut fleet = orphaned_fleet().await;
        for target in &fleet.targets {
            target.set_default_behaviour(Behaviour::Responds);
        }
        fleet.targets[0].share_script(&fleet.targets[1], &[behaviour]);
        let next = fleet.add_node("next", true).await;
        let results = fleet.results(next, "j1", 1).await;
        assert!(is_whole(&results[0]), "{behaviour:?}: {results:?}");
    }
}
