//! The command `quickstart` of the built binary, in both output formats.
//!
//! If it fails, a new user's first run ends with an error, or its output lacks responses, spans or job results.

use serde_json::{Value, json};
use tokio::process::Command;

const SPAN_NAMES: [&str; 3] = ["entry", "attempt", "target"];

async fn run(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrassgap"));
    let output = command.args(args).output().await.expect("a process");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    String::from_utf8(output.stdout).expect("text")
}

#[tokio::test]
async fn outcome_for_scripts() {
    let text = run(&["--format", "json", "quickstart"]).await;
    let outcome: Value = serde_json::from_str(&text).expect("JSON");
    let responses = outcome["answers"].as_array().expect("answers");
    let expected = [
        (
            "whole-completion",
            "quickstart-0 quickstart-1 quickstart-2 ",
        ),
        ("streamed-completion", "data: [DONE]"),
        ("plain-call", r#""body":"tow plane ready""#),
    ];
    assert_eq!(responses.len(), expected.len());
    for (response, (step, part)) in responses.iter().zip(expected) {
        assert_eq!(
            (&response["step"], &response["status"]),
            (&json!(step), &json!(200))
        );
        let body = response["body"].as_str().expect("a body");
        assert!(body.contains(part), "{body}");
        let spans = outcome["hops"].as_array().expect("spans").iter();
        let spans = spans.filter(|span| span["trace_id"] == response["trace_id"]);
        let names: Vec<_> = spans
            .map(|span| span["name"].as_str().unwrap_or(""))
            .collect();
        assert_eq!(names, SPAN_NAMES, "{step}");
    }
    assert_eq!(outcome["job"]["status"]["state"], "completed");
    let results = outcome["job"]["results"].as_str().expect("results");
    let lines = results.lines().map(serde_json::from_str::<Value>);
    let lines: Vec<Value> = lines.map(|line| line.expect("a JSON line")).collect();
    assert_eq!(lines.len(), 50);
    for (item, line) in lines.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("flight-{item}"));
        assert_eq!(line["response"]["status_code"], 200, "{line}");
    }
}

#[tokio::test]
async fn outcome_for_people() {
    let text = run(&["quickstart"]).await;
    let parts = [
        "applied 4 records at revision",
        "whole completion: POST /v1/completions answered 200",
        "streamed completion: POST /v1/completions answered 200",
        "plain call: POST /services/dispatch/alerts answered 200",
        "50 items were answered",
        "drained the entry node, then the target nodes",
    ];
    for part in parts {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}
