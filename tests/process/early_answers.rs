//! Targets that answer before they have read the request, send part of the body and reset the connection, and targets whose
//! status is no status.
//!
//! Guards against the part that reaches a caller as a complete response, since the reset was reported to the write of the
//! request, and against an invalid status that reaches a caller as that of an answer (RFC 9110, section 15).

use std::time::Duration;

use eel_platform::standin::{EarlyResponse, EarlyTarget};
use futures_util::stream::{StreamExt as _, iter};
use tokio::time::sleep;

use crate::{
    fleet::{Platform, RawTarget, Service},
    outcome::{SHORT_DEADLINE_MS, call},
};

/// The sizes of bodies, more than the buffers of a connection and less, and whether their requests may be repeated.
const BODIES: [(usize, bool); 4] = [
    (3_500_000, false),
    (3_500_000, true),
    (1_000, false),
    (1_000, true),
];
/// The parts that are sent: one, and one that is longer than all buffers on the way to a caller that does not read.
const PART_BYTES: [usize; 2] = [5_000, 64_000_000];
const DEADLINE_MS: u64 = 10_000;
/// The number of fleets at once.
const PARALLEL: usize = 6;
/// How long a slow caller reads nothing: until the target has reset its connection.
const CALLER_PAUSE: Duration = Duration::from_secs(1);
const STATUSES: [&str; 8] = [
    "000 Trouble",
    "099 Trouble",
    "101 Switching Protocols",
    "600 Trouble",
    "999 Trouble",
    "20 OK",
    "2000 OK",
    "2x0 OK",
];

/// Returns the requests that look complete although the target's `answer` breaks off after `part_bytes`.
async fn complete(answer: EarlyResponse, part_bytes: usize) -> Vec<String> {
    let faulty = EarlyTarget::start(answer.clone()).await.expect("a target");
    let url = format!("http://{}", faulty.address());
    let mut platform = Platform::start(&[Service::Dispatch]).await;
    let _target = platform
        .start_target_at("t1", "dispatch-runners", &url)
        .await;
    let entry = platform.start_ready_entry("e1").await;
    let mut wrong = Vec::new();
    for (body_bytes, is_repeatable) in BODIES {
        let request = call(&entry, is_repeatable, "a", DEADLINE_MS);
        let sent = request.body(vec![b'x'; body_bytes]).send().await;
        // The connection is cut if the response breaks off before its head was written.
        let Ok(response) = sent else {
            continue;
        };
        let is_success = response.status().is_success();
        if part_bytes > body_bytes {
            sleep(CALLER_PAUSE).await;
        }
        if response.bytes().await.is_ok() && is_success {
            wrong.push(format!(
                "{answer:?}, {part_bytes}, {body_bytes}, {is_repeatable}"
            ));
        }
    }
    wrong
}

#[tokio::test]
async fn broken_off_answers() {
    let cases = PART_BYTES.into_iter().flat_map(|part_bytes| {
        let answers = EarlyResponse::broken_off(&"x".repeat(part_bytes)).into_iter();
        answers.map(move |answer| complete(answer, part_bytes))
    });
    let wrong: Vec<String> = iter(cases).buffer_unordered(PARALLEL).concat().await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn invalid_status() {
    let mut wrong = Vec::new();
    for status in STATUSES {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let raw = RawTarget::start(
            &format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\nbody"),
            false,
        )
        .await;
        let _target = platform
            .start_target_at("t1", "dispatch-runners", &raw.url)
            .await;
        let entry = platform.start_ready_entry("e1").await;
        for is_repeatable in [false, true] {
            let response = call(&entry, is_repeatable, "a", SHORT_DEADLINE_MS)
                .send()
                .await;
            let response = response.expect("a response");
            let (code, verdict) = (
                response.status().as_u16(),
                response.headers().get("x-eel-verdict").cloned(),
            );
            if code != 502 || verdict.is_none_or(|it| it != "may-have-run") {
                wrong.push(format!("{status}, {is_repeatable}: {code}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
