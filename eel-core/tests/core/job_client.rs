//! Guards against a job client that gives up while another entry node would respond, and against a refusal reported as
//! final although an earlier attempt, whose response was an error, may have been accepted.

use std::sync::{Arc, Mutex};

use eel_core::job::{Error, JobClient, JobStatus, SubmitOptions, submit_items};
use eel_standin::serve::RunningServer;
use error_stack::Report;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};

const ACCEPTED: &str = r#"{"id":"1f","object":"batch","state":"in_progress","service":"scribe",
    "created_at_unix_ms":1,"deadline_unix_ms":2,"results_kept_until_unix_ms":3,
    "items":2,"completed":0,"failed":0}"#;

/// Responds with each status in turn, then repeats the last one; records the request headers.
struct Script {
    statuses: Vec<u16>,
    seen: Arc<Mutex<Vec<String>>>,
}

#[async_trait]
impl Handler for Script {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let header = |name| req.header::<String>(name).unwrap_or_default();
        let names = [
            "authorization",
            "idempotency-key",
            "x-eel-service",
            "x-eel-deadline-ms",
            "x-eel-repeatable",
        ];
        let mut seen = self.seen.lock().unwrap();
        let status = self.statuses[seen.len().min(self.statuses.len() - 1)];
        seen.push(names.map(header).join(" "));
        res.status_code(StatusCode::from_u16(status).unwrap());
        let _ = res.write_body(if status == 200 { ACCEPTED } else { "no" });
    }
}

async fn start(statuses: &[u16]) -> (RunningServer, Arc<Mutex<Vec<String>>>) {
    let seen = Arc::default();
    let script = Script {
        statuses: statuses.to_vec(),
        seen: Arc::clone(&seen),
    };
    let router = Router::with_path("v1/batches").post(script);
    (RunningServer::start(router).await, seen)
}

async fn submit(entries: &[String]) -> Result<JobStatus, Report<Error>> {
    let entries = entries.iter().map(|url| url.as_str().into()).collect();
    let client = JobClient::new(entries, "secret".into(), 1_000).unwrap();
    let options = SubmitOptions {
        service: "scribe".into(),
        deadline_ms: 60_000,
        repeatable: false,
        idempotency_key: "k".into(),
    };
    submit_items(&options, "{}".into(), &client).await
}

type Case = (&'static [u16], usize, Option<(u16, bool)>);

#[tokio::test]
async fn answers() {
    // Statuses returned in turn, number of calls, status of the refusal and whether the job may have been accepted.
    let cases: [Case; 6] = [
        (&[200], 1, None),
        (&[503, 200], 2, None),
        (&[502, 504, 200], 3, None),
        (&[409], 1, Some((409, false))),
        (&[503, 404], 2, Some((404, true))),
        (&[503], 3, Some((503, true))),
    ];
    for (statuses, calls, refused) in cases {
        let (server, seen) = start(statuses).await;
        let dead = "http://127.0.0.1:1".to_owned();
        let outcome = submit(&[dead, format!("http://{}/", server.address())]).await;
        let seen = seen.lock().unwrap();
        assert_eq!(seen.len(), calls, "{statuses:?}");
        assert!(
            seen.iter()
                .all(|s| s == "Bearer secret k scribe 60000 false"),
            "{seen:?}"
        );
        match (outcome, refused) {
            (Ok(status), None) => {
                assert_eq!(
                    status.to_string(),
                    "1f in progress: 0 of 2 items completed, 0 failed"
                );
            }
            (Err(report), Some((code, may_have))) => match report.current_context() {
                error @ Error::Refused { status, .. } => {
                    assert_eq!((*status, error.may_have_taken_effect()), (code, may_have));
                }
                error => panic!("{statuses:?}: {error}"),
            },
            (outcome, _) => panic!("{statuses:?}: {outcome:?}"),
        }
    }
}

#[tokio::test]
async fn nobody_answers() {
    let report = submit(&["http://127.0.0.1:1".to_owned()])
        .await
        .unwrap_err();
    assert!(
        matches!(report.current_context(), Error::Unreachable),
        "{report:?}"
    );
}
