//! Finds out whether the process at a target's address is the one that the target's entry announces.
//!
//! A target may start again under its id and address, at another version, before its new entry is seen. Neither the
//! connection nor the response tells; the process does, if it is asked when it started.

use std::time::Instant;

use bytes::Bytes;
use eel_platform::{TARGET_STATE_PATH, decode_started_unix_ms, names_request};
use eel_store::many_interim;
use http::{Request, header};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time::timeout_at;

use super::{connection::Connection, failure::AttemptFailure};

/// The maximum size of a target's description of itself.
const MAX_STATE_BYTES: usize = 256 * 1024;

/// What a process says of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// It started when the entry says.
    Announced,
    /// It started at another time.
    Other,
    /// It does not say when it started. The connection must not be used any more.
    Unknown,
}

/// Asks the process at the other end of `connection`, which must not have a request, whether it started at
/// `started_unix_ms`; waits until `until`.
///
/// # Errors
///
/// [`AttemptFailure::NoIdentity`] if it does not respond; no request was sent.
pub async fn identify(
    connection: &mut Connection,
    started_unix_ms: u64,
    until: Instant,
) -> Result<Identity, AttemptFailure> {
    let mut question = Request::new(Full::new(Bytes::new()));
    *question.uri_mut() = http::Uri::from_static(TARGET_STATE_PATH);
    let host = connection.address.to_string();
    if let Ok(host) = host.parse() {
        question.headers_mut().insert(header::HOST, host);
    }
    connection.is_kept = true;
    let many_interim = many_interim(&mut question);
    let answer = async {
        let response = connection.sender.send_request(question).await.ok()?;
        if !response.status().is_success() || names_request(response.headers()) {
            return Some(Identity::Unknown);
        }
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES).collect();
        let Ok(body) = body.await else {
            return Some(Identity::Unknown);
        };
        Some(match decode_started_unix_ms(&body.to_bytes()) {
            Some(started) if started == started_unix_ms => Identity::Announced,
            Some(_) => Identity::Other,
            None => Identity::Unknown,
        })
    };
    let answer = timeout_at(until.into(), answer);
    let answer = tokio::select! {
        answer = answer => answer.ok().flatten(),
        () = many_interim.notified() => None,
    };
    answer.ok_or(AttemptFailure::NoIdentity)
}
