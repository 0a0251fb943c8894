//! Guards against faults of the HTTP API: a resend that starts a second job, a refusal with a wrong status or message,
//! and access to a job of another caller.

use eel_standin::kv::KvServer;

use crate::fixture::{Entry, Executions, FakeHost, check_complete, job_id, json, lines};

#[tokio::test]
async fn resends_find_the_same_job() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let a = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let b = Entry::start(&server, "entry-b", FakeHost::new(&executions)).await;
    let (left, right) = tokio::join!(
        a.submit("k", lines(20), false),
        b.submit("k", lines(20), false)
    );
    let (left, right) = (job_id(left).await, job_id(right).await);
    assert_eq!(left, right);
    assert_eq!(check_complete(&a.results(&left).await, 20), 20);
    let later = json(b.submit("k", lines(20), false).await).await;
    assert_eq!(
        (later["id"].as_str(), later["state"].as_str()),
        (Some(&*left), Some("completed"))
    );
    let other = a.submit("k", lines(21), false).await;
    assert_eq!(other.status(), 409);
    assert_eq!(other.headers()["x-eel-verdict"], "not-run");
    assert!(executions.lock().unwrap().values().all(|count| *count == 1));
}

#[tokio::test]
async fn refusals() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let entry = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let bad = format!("{}\nnonsense", lines(1));
    // Header to replace with its value, submitted lines, expected status, expected part of the message.
    let cases = [
        (("x-eel-service", "none"), lines(1), 404, "unknown-service"),
        (("x-eel-service", ""), lines(1), 404, "unknown-service"),
        (("x-eel-deadline-ms", "soon"), lines(1), 400, "not a number"),
        (("x-eel-deadline-ms", "0"), lines(1), 503, "deadline"),
        (("x-eel-repeatable", "maybe"), lines(1), 400, "neither"),
        (
            ("idempotency-key", ""),
            lines(1),
            400,
            "idempotency key is missing",
        ),
        (("authorization", "none"), lines(1), 401, "unauthorized"),
        (("x-other", ""), bad, 400, "line 2"),
        (("x-other", ""), String::new(), 400, "no items"),
    ];
    for ((name, value), lines, status, message) in cases {
        let mut headers = reqwest::header::HeaderMap::new();
        for (name, value) in [
            ("authorization", "Bearer ridgelog"),
            ("idempotency-key", "k"),
            ("x-eel-service", "scribe"),
            ("x-eel-deadline-ms", "60000"),
            (name, value),
        ] {
            headers.insert(name, value.parse().unwrap());
        }
        let url = format!("http://{}/v1/batches", entry.address);
        let request = reqwest::Client::new()
            .post(url)
            .headers(headers)
            .body(lines);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), status, "{name}: {value}");
        assert_eq!(response.headers()["x-eel-verdict"], "not-run");
        let error = json(response).await["error"]["message"].to_string();
        assert!(error.contains(message), "{error}");
    }
    for path in ["/0000", "/nonsense", "/0000/results"] {
        assert_eq!(entry.get(path).await.status(), 404);
    }
    assert!(executions.lock().unwrap().is_empty());
}

#[tokio::test]
async fn jobs_belong_to_their_caller() {
    let server = KvServer::start().await.unwrap();
    let executions = Executions::default();
    let entry = Entry::start(&server, "entry-a", FakeHost::new(&executions)).await;
    let job = job_id(entry.submit("k", lines(3), true).await).await;
    let url = format!("http://{}/v1/batches/{job}", entry.address);
    let other = reqwest::Client::new().get(url).bearer_auth("piedmont");
    assert_eq!(other.send().await.unwrap().status(), 404);
    assert_eq!(check_complete(&entry.results(&job).await, 3), 3);
}
