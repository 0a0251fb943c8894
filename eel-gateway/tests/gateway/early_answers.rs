//! Targets that answer before they have read the request, send part of the body and reset the connection, and targets whose
//! status is no status.
//!
//! Guards against the part that reaches a caller, or is listed, as a complete response: the reset may be reported to the
//! write of the request, after which the read finds an ordinary end. And against a status that RFC 9110, section 15, calls
//! invalid and that reaches a caller as that of an answer.

use std::time::Duration;

use eel_platform::standin::{EarlyResponse, EarlyTarget, StandInTarget, routes};
use futures_util::{StreamExt as _, stream};
use tokio::time::sleep;

use crate::fixture::{Fleet, events, fleet};

/// More than the buffers of a connection, and less than those.
const BODY_BYTES: [usize; 2] = [4_000_000, 1_000];
const PLAIN_PATHS: [&str; 2] = ["/once/1", "/idempotent/1"];
const STREAM_PATHS: [&str; 2] = ["/once-stream/1", "/resumable-stream/1"];
const PARTIAL_STREAM: &str = "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
/// More than all the buffers between a target and a caller that does not read.
const LONG_PART_BYTES: usize = 24_000_000;
/// How long a slow caller reads nothing: until the target has reset its connection.
const CALLER_PAUSE: Duration = Duration::from_millis(800);
/// The number of fleets at once.
const PARALLEL: usize = 8;

/// Starts a node before a target that gives `answer`, and a sound one if `has_sound`.
async fn faulty_fleet(answer: EarlyResponse, has_sound: bool) -> (Fleet, EarlyTarget) {
    let mut fleet = fleet(0, 0).await;
    let mut table = routes(2);
    table["limits"]["maxBodyBytes"] = 9_000_000.into();
    fleet.store.put("op/config", &table.to_string());
    let faulty = EarlyTarget::start(answer).await.expect("a target");
    faulty.announce(&fleet.store, "faulty");
    if has_sound {
        let sound = StandInTarget::start("scribe", "sound").await;
        let sound = sound.expect("a target");
        sound.announce(&fleet.store, "ready");
        fleet.targets.push(sound);
    }
    fleet.add_node("node-0", true).await;
    (fleet, faulty)
}

/// Returns what is wrong with the outcomes of requests that may not be repeated, and of those that may, but do not succeed.
async fn wrong_plain(answer: EarlyResponse, has_sound: bool) -> Vec<String> {
    let (fleet, _faulty) = faulty_fleet(answer.clone(), has_sound).await;
    let mut wrong = Vec::new();
    for path in PLAIN_PATHS {
        for (number, body_bytes) in BODY_BYTES.into_iter().enumerate() {
            let id = format!("r{number}{}", path.len());
            let request = fleet.post(0, path, &id).body(vec![b'x'; body_bytes]);
            let response = request.send().await.expect("a response");
            let status = response.status().as_u16();
            let body = response.bytes().await;
            let is_whole = body.as_ref().is_ok_and(|it| it.len() == body_bytes);
            let is_served = status == 200 && is_whole;
            // With 503 it was not sent: no target is left.
            let is_refused = matches!(status, 502 | 503);
            let is_right = match path {
                "/idempotent/1" if has_sound => is_served,
                _ => is_refused || (has_sound && is_served),
            };
            if !is_right {
                let body = body.map(|it| it.len());
                wrong.push(format!(
                    "{answer:?}, {path}, {body_bytes}: {status}, {body:?}"
                ));
            }
        }
    }
    wrong
}

async fn wrong_streams(answer: EarlyResponse, has_sound: bool) -> Vec<String> {
    let (fleet, _faulty) = faulty_fleet(answer.clone(), has_sound).await;
    let mut wrong = Vec::new();
    for path in STREAM_PATHS {
        for (number, body_bytes) in BODY_BYTES.into_iter().enumerate() {
            let id = format!("s{number}{}", path.len());
            let request = fleet.post(0, path, &id).body(vec![b'x'; body_bytes]);
            let response = request.send().await.expect("a response");
            let status = response.status().as_u16();
            let (ids, is_complete) = events(response).await;
            let is_whole = ids == [1, 2, 3, 4, 5];
            let is_served = status == 200 && is_complete && is_whole;
            let is_cut = status == 200 && !is_complete && !is_whole;
            let is_refused = matches!(status, 502 | 503);
            let is_right = match path {
                "/resumable-stream/1" if has_sound => is_served,
                _ => is_refused || is_cut || (has_sound && is_served),
            };
            if !is_right {
                wrong.push(format!(
                    "{answer:?}, {path}, {body_bytes}: {status}, {ids:?}, complete: {is_complete}"
                ));
            }
        }
    }
    wrong
}

async fn wrong_items(answer: EarlyResponse) -> Vec<String> {
    let (fleet, _faulty) = faulty_fleet(answer.clone(), true).await;
    assert_eq!(fleet.submit(0, "j1", &["stream/1"; 4]).await, 202);
    let results = fleet.results(0, "j1", 4).await;
    let wrong = results.iter().filter(|it| {
        it["state"] != "completed" || it["text"] != "word1\nword2\nword3\nword4\nword5"
    });
    wrong.map(|it| format!("{answer:?}: {it}")).collect()
}

/// Collects what is wrong in all cases, a few of them at once.
async fn collect<F: Future<Output = Vec<String>>>(cases: impl IntoIterator<Item = F>) {
    let cases = stream::iter(cases).buffer_unordered(PARALLEL);
    let wrong: Vec<String> = cases.concat().await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn broken_off_plain_answers() {
    let cases = EarlyResponse::broken_off(&"x".repeat(5_000)).into_iter();
    collect(cases.flat_map(|it| [wrong_plain(it.clone(), true), wrong_plain(it, false)])).await;
}

#[tokio::test]
async fn broken_off_streams() {
    let cases = EarlyResponse::broken_off(PARTIAL_STREAM).into_iter();
    collect(cases.flat_map(|it| [wrong_streams(it.clone(), true), wrong_streams(it, false)])).await;
}

#[tokio::test]
async fn broken_off_items() {
    collect(
        EarlyResponse::broken_off(PARTIAL_STREAM)
            .into_iter()
            .map(wrong_items),
    )
    .await;
}

/// The node reads nothing from the target while its caller does not read, so that only its write meets the reset.
#[tokio::test]
async fn broken_off_before_a_slow_caller() {
    let wrong = async |path: &'static str, answer: EarlyResponse| {
        let (fleet, _faulty) = faulty_fleet(answer.clone(), false).await;
        let request = fleet.post(0, path, "r1").body(vec![b'x'; BODY_BYTES[0]]);
        let response = request.send().await.expect("a response");
        let status = response.status();
        sleep(CALLER_PAUSE).await;
        let body = response.bytes().await;
        let is_complete = status == 200 && body.is_ok();
        let body = body.map(|it| it.len());
        let text = || format!("{answer:?}, {path}: {status}, {body:?}");
        is_complete.then(text).into_iter().collect()
    };
    let part = "id: 1\ndata: word1\n\n".repeat(LONG_PART_BYTES / 20);
    let answers = EarlyResponse::broken_off(&part);
    let paths = PLAIN_PATHS.into_iter().chain(STREAM_PATHS);
    let cases = paths.flat_map(|path| answers.iter().map(move |it| (path, it.clone())));
    collect(cases.map(|(path, answer)| wrong(path, answer))).await;
}

/// Returns answers that are complete but for their status.
fn invalid_statuses(body: &str) -> Vec<EarlyResponse> {
    let statuses = [
        "000 Trouble",
        "099 Trouble",
        "101 Switching Protocols",
        "600 Trouble",
        "999 Trouble",
        "20 OK",
        "2000 OK",
        "2x0 OK",
        "+20 OK",
        "-20 OK",
        "OK",
        "",
    ];
    let answer = |status| EarlyResponse {
        status,
        rest: format!("content-length: {}\r\n\r\n{body}", body.len()).into(),
        read_bytes: usize::MAX,
        pause: Duration::from_millis(50),
    };
    statuses.map(answer).into()
}

#[tokio::test]
async fn invalid_status_of_an_answer() {
    let cases = invalid_statuses("body").into_iter();
    collect(cases.flat_map(|it| [wrong_plain(it.clone(), true), wrong_plain(it, false)])).await;
}

#[tokio::test]
async fn invalid_status_of_a_stream() {
    let events = ["1", "2", "3", "4", "5"].map(|it| format!("id: {it}\ndata: word{it}\n\n"));
    let whole = events.concat();
    let cases = invalid_statuses(&whole).into_iter();
    collect(cases.flat_map(|it| [wrong_streams(it.clone(), true), wrong_streams(it, false)])).await;
}

#[tokio::test]
async fn invalid_status_of_an_item() {
    collect(
        invalid_statuses("id: 1\ndata: wrong\n\n")
            .into_iter()
            .map(wrong_items),
    )
    .await;
}
