//! Sends one request to one target and reads its response.

use std::{
    convert::Infallible,
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_fleet::AttemptOutcome;
use eel_platform::{
    AttemptFields, ResponseFields, ResponseKind, copy_request_headers, response_fields,
};
use eel_store::many_interim;
use eel_types::Name;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, response::Parts};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::{sleep, timeout_at};

use super::{
    connection::Connection,
    failure::AttemptFailure,
    framing::BodyFraming,
    identity::{Identity, identify},
    pool::Pool,
};
use crate::{quarantine::Suspects, slots::SlotGuard};

/// How long a target may leave a request without the head of a response before other requests avoid it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to a target, reusable for several attempts.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: String,
    /// Whether the request's id has to be added because `headers` do not carry it.
    pub adds_id: bool,
    /// Whether its response may be continued, at a target of the same version only.
    pub is_continuable: bool,
    /// What can crash targets in the request.
    pub suspects: Suspects,
    /// The tenant whose name the target gets; `None` if there is none.
    pub tenant: Option<Name>,
}

/// The head of a target's response, with the connection and slot that are needed to read its body.
pub struct TargetResponse {
    pub slot: SlotGuard,
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub fields: ResponseFields,
    pub body: Incoming,
    pub framing: BodyFraming,
    connection: Option<Connection>,
}

/// What the log says of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTrace {
    /// The status; 0 if there was no response.
    pub status: u16,
    pub is_signed: bool,
    /// What marks the end of the body; `None` if there was no response.
    pub framing: Option<BodyFraming>,
    /// The node's own port of the connection.
    pub local_port: u16,
    /// Whether the connection had a request before.
    pub is_kept: bool,
}

/// Sends `outgoing` to the target of `slot` and reads the head of its response, waiting until `until`.
///
/// `deadline` is the end of the caller's wait, which is forwarded to the target; `last_event_id` resumes a stream after
/// that event.
///
/// # Errors
///
/// [`AttemptFailure`], whose verdict says whether the request may have run.
pub async fn exchange(
    pool: &Pool,
    mut slot: SlotGuard,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    until: Instant,
    deadline: Instant,
) -> Result<TargetResponse, AttemptFailure> {
    let sent = send(pool, &slot, outgoing, last_event_id, until, deadline).await;
    let (connection, response) = sent.inspect_err(|failure| slot.set_outcome(failure.outcome()))?;
    let (parts, body) = response.into_parts();
    let request_id = outgoing.request_id.as_str();
    let is_kept = connection.is_kept;
    let fields = read_fields(&slot, request_id, &parts, is_kept);
    if let Err(failure) = check(fields.kind) {
        slot.set_outcome(failure.outcome());
        log_unusable(request_id, &slot, parts.status, is_kept, failure);
        if !matches!(failure, AttemptFailure::InvalidResponse) && !fields.closes {
            return_connection(pool, &slot, connection, &body, fields.keep_alive);
        }
        return Err(failure);
    }
    slot.on_response();
    let connection = Some(connection);
    Ok(TargetResponse {
        slot,
        status: parts.status,
        framing: BodyFraming::of(&parts.headers),
        headers: parts.headers,
        fields,
        body,
        connection,
    })
}

pub(super) fn check(kind: ResponseKind) -> Result<(), AttemptFailure> {
    match kind {
        ResponseKind::Genuine => Ok(()),
        ResponseKind::Full => Err(AttemptFailure::Full),
        ResponseKind::Misdirected => Err(AttemptFailure::Misdirected),
        ResponseKind::Unproven => Err(AttemptFailure::Unproven),
        ResponseKind::Unverified => Err(AttemptFailure::InvalidResponse),
    }
}

fn log_unusable(
    request_id: &str,
    slot: &SlotGuard,
    status: StatusCode,
    is_kept: bool,
    failure: AttemptFailure,
) {
    // Full targets are part of normal operation.
    let level = match failure {
        AttemptFailure::Full => log::Level::Debug,
        _ => log::Level::Info,
    };
    log::log!(
        target: "target", level, request_id, target_id = slot.target.id.as_str(), status = status.as_u16(), is_kept,
        evidence = failure.evidence().unwrap_or_default();
        "A response from a target is not used: {failure}."
    );
}

async fn send(
    pool: &Pool,
    slot: &SlotGuard,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    until: Instant,
    deadline: Instant,
) -> Result<(Connection, Response<Incoming>), AttemptFailure> {
    let address = slot.target.address;
    let send_over = async |connection| {
        let connection = verify(connection, slot, outgoing, last_event_id, until).await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let request = to_request(slot, outgoing, last_event_id, left);
        try_send(connection, request, &outgoing.request_id, slot, until).await
    };
    if let Some(kept) = pool.take(Instant::now(), address, &outgoing.request_id) {
        match send_over(kept).await {
            // The target may have closed the connection meanwhile.
            Err(failure @ (AttemptFailure::NoIdentity | AttemptFailure::NotWritten)) => {
                log::debug!(
                    target: "target", request_id = outgoing.request_id.as_str(), target_id = slot.target.id.as_str(),
                    evidence = failure.evidence();
                    "A request is sent over a new connection: {failure}."
                );
            }
            sent => return sent,
        }
    }
    send_over(open(address).await?).await
}

async fn open(address: SocketAddr) -> Result<Connection, AttemptFailure> {
    Connection::open(address).await.map_err(|error| {
        log::debug!(target: "target", "Cannot connect to the target at {address}: {error}.");
        AttemptFailure::NoConnection
    })
}

/// Makes sure that a response which may be continued comes from the incarnation of the target that its entry announces, as
/// another one may have another version. A target that does not tell its incarnation may begin a response, but not continue one.
async fn verify(
    mut connection: Connection,
    slot: &SlotGuard,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    until: Instant,
) -> Result<Connection, AttemptFailure> {
    let incarnation = Some(slot.target.incarnation());
    let Some(started_unix_ms) = slot.target.started_unix_ms else {
        return Ok(connection);
    };
    if !outgoing.is_continuable || connection.incarnation == incarnation {
        return Ok(connection);
    }
    let identity = unless_silent(slot, identify(&mut connection, started_unix_ms, until)).await?;
    match identity {
        Identity::Announced => {
            connection.incarnation = incarnation;
            Ok(connection)
        }
        Identity::Other => {
            log::info!(
                target: "target", request_id = outgoing.request_id.as_str(), target_id = slot.target.id.as_str();
                "A target has started again; its new entry is not known yet."
            );
            Err(AttemptFailure::OtherProcess)
        }
        Identity::Unknown if last_event_id.is_some() => Err(AttemptFailure::OtherProcess),
        Identity::Unknown => open(connection.address).await,
    }
}

/// Waits for `answer`, and lets other requests avoid the target once it has been silent for [`SILENCE_TIMEOUT`].
async fn unless_silent<T>(slot: &SlotGuard, answer: impl Future<Output = T>) -> T {
    let silence = async {
        sleep(SILENCE_TIMEOUT).await;
        slot.on_silence();
        pending::<Infallible>().await
    };
    tokio::select! {
        answer = answer => answer,
        never = silence => match never {},
    }
}

/// Sends a request.
///
/// # Errors
///
/// [`AttemptFailure::NotWritten`] if no part of it was written.
pub(super) async fn try_send(
    mut connection: Connection,
    mut request: Request<Full<Bytes>>,
    request_id: &str,
    slot: &SlotGuard,
    until: Instant,
) -> Result<(Connection, Response<Incoming>), AttemptFailure> {
    connection.on_send(request_id);
    let many_interim = many_interim(&mut request);
    let sending = timeout_at(until.into(), connection.sender.try_send_request(request));
    let sent = tokio::select! {
        sent = unless_silent(slot, sending) => sent,
        () = many_interim.notified() => return Err(AttemptFailure::InvalidResponse),
    };
    match sent {
        Err(_) => Err(AttemptFailure::TimedOut),
        Ok(Ok(response)) => Ok((connection, response)),
        Ok(Err(mut error)) => Err(match error.take_message() {
            Some(_) => AttemptFailure::NotWritten,
            None => AttemptFailure::InvalidResponse,
        }),
    }
}

pub(super) fn to_request(
    slot: &SlotGuard,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let attempt = AttemptFields {
        target_id: &slot.target.id,
        request_id: outgoing.adds_id.then_some(outgoing.request_id.as_str()),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
        last_event_id,
        tenant: outgoing.tenant.as_deref(),
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = copy_request_headers(&outgoing.headers, &attempt);
    request
}

/// Reads the fields of the head of a response to `request_id`, and records what they say of the target.
pub(super) fn read_fields(
    slot: &SlotGuard,
    request_id: &str,
    parts: &Parts,
    is_kept: bool,
) -> ResponseFields {
    let fields = response_fields(request_id, parts.status, &parts.headers, is_kept);
    if fields.is_leaving {
        slot.on_leaving();
    }
    if let Some(limit) = fields.limit {
        slot.on_limit(limit);
    }
    fields
}

/// Returns the connection of a refusal to the pool if no body is left to read.
fn return_connection(
    pool: &Pool,
    slot: &SlotGuard,
    connection: Connection,
    body: &Incoming,
    keep_alive: Option<Duration>,
) {
    if hyper::body::Body::is_end_stream(body) {
        pool.put(Instant::now(), slot.target.address, connection, keep_alive);
    }
}

impl TargetResponse {
    /// Returns what the log says of the response.
    pub fn trace(&self) -> ResponseTrace {
        let connection = self.connection.as_ref();
        ResponseTrace {
            status: self.status.as_u16(),
            is_signed: self.fields.is_signed,
            framing: Some(self.framing),
            local_port: connection.map_or(0, |it| it.local_port),
            is_kept: connection.is_some_and(|it| it.is_kept),
        }
    }

    /// Reads the next bytes of the body, waiting until `until`; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure::InvalidResponse`] if the connection fails, [`AttemptFailure::TimedOut`] if nothing arrives
    /// until `until`.
    pub async fn next(&mut self, until: Instant) -> Result<Option<Bytes>, AttemptFailure> {
        loop {
            let frame = timeout_at(until.into(), self.body.frame()).await;
            match frame {
                Err(_) => return Err(self.fail(AttemptFailure::TimedOut)),
                Ok(Some(Err(_))) => return Err(self.fail(AttemptFailure::InvalidResponse)),
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Marks the response as complete and returns its connection to the pool.
    pub fn finish(self, pool: &Pool) {
        let outcome = if self.status.is_server_error() {
            AttemptOutcome::Errored
        } else {
            AttemptOutcome::Answered
        };
        self.finish_as(outcome, pool);
    }

    /// Does as [`Self::finish`]; the choice of targets counts the attempt as `outcome`.
    pub fn finish_as(mut self, outcome: AttemptOutcome, pool: &Pool) {
        self.slot.set_outcome(outcome);
        let is_open = !self.fields.closes && self.framing != BodyFraming::Connection;
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| is_open) {
            pool.put(
                Instant::now(),
                self.slot.target.address,
                connection,
                self.fields.keep_alive,
            );
        }
    }

    /// Reads the body of another response of the same target from now on.
    pub(super) fn replace(
        &mut self,
        parts: Parts,
        fields: ResponseFields,
        body: Incoming,
        connection: Connection,
    ) {
        self.framing = BodyFraming::of(&parts.headers);
        self.status = parts.status;
        self.headers = parts.headers;
        self.fields = fields;
        self.body = body;
        self.connection = Some(connection);
    }

    /// Closes the connection, whose response is not read to its end.
    pub(super) fn close(&mut self) {
        self.connection = None;
    }

    /// Marks the attempt as failed and returns `failure`.
    pub fn fail(&mut self, failure: AttemptFailure) -> AttemptFailure {
        self.slot.set_outcome(failure.outcome());
        failure
    }
}
