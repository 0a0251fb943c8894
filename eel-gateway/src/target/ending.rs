//! Finds out whether a stream of events that ended with its connection is complete.
//!
//! A target that is done and one whose process ends close their connections alike (RFC 9112, section 6.3). The process tells
//! the difference if it still responds. A process that does may have cut the stream by itself: what it sends after the last
//! event shows that.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use eel_events::{EventBuffer, Repeats};
use eel_fleet::TargetEntry;
use http::StatusCode;
use tokio::time::sleep;

use super::{
    connection::Connection,
    exchange::{OutgoingRequest, TargetResponse, check, read_fields, to_request, try_send},
    failure::AttemptFailure,
    framing::{BodyFraming, continues_stream},
    identity::{Identity, identify},
};
use crate::context::Context;

/// The number of times that a target is asked whether it still runs, if it does not respond.
const MAX_QUESTIONS: u32 = 3;
/// How long it may take to respond.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause before it is asked again. A process that ends may close its listener after its connections.
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);
/// How long a target may take to send an event after the last one. It may be full, which says nothing of the stream.
const REST_TIMEOUT: Duration = Duration::from_millis(700);

/// What is known of a stream that ended with its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is complete: the target's process still runs, and has no event after the last one.
    Complete,
    /// The target sends what is missing, of which these are the first bytes. The response reads the rest.
    Continued(Bytes),
    /// It may be cut: the target's process has ended, or has broken off once more.
    Broken,
    /// The target's process still runs, but does not say what follows the last event.
    Unsaid,
    /// The target does not respond any more.
    Unknown,
}

impl Ending {
    /// Returns the name in logs and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Continued(_) => "continued",
            Self::Broken => "broken",
            Self::Unsaid => "unsaid",
            Self::Unknown => "unknown",
        }
    }
}

/// How a target responds to a request for what follows the last event.
enum Rest {
    /// With a stream of events, of which there may be none.
    Stream,
    /// With a final response that has no events, as nothing may follow.
    Declined(StatusCode),
}

/// Whether the process that sent a response still runs.
enum Survival {
    /// It does; the connection over which it said so, if further requests may be sent over it.
    Runs(Option<Connection>),
    Ended,
    Unknown,
}

/// Finds out whether the process of `target` still runs.
///
/// Only a process that refuses connections, or is another one, is known to have ended. A target that resets connections may
/// have too many of them.
async fn survival(target: &TargetEntry, until: Instant) -> Survival {
    for question in 0..MAX_QUESTIONS {
        if question > 0 {
            sleep(QUESTION_INTERVAL).await;
        }
        let until = until.min(Instant::now() + QUESTION_TIMEOUT);
        let mut connection = match Connection::open(target.address).await {
            Ok(connection) => connection,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Survival::Ended;
            }
            Err(error) => {
                log::debug!(target: "target", "Cannot connect to the target at {}: {error}.", target.address);
                continue;
            }
        };
        let started_unix_ms = target.started_unix_ms.unwrap_or_default();
        match identify(&mut connection, started_unix_ms, until).await {
            Ok(Identity::Announced) => {
                connection.incarnation = Some(target.incarnation());
                return Survival::Runs(Some(connection));
            }
            // The entry does not tell this process from an earlier one.
            Ok(Identity::Other) if target.started_unix_ms.is_none() => {
                return Survival::Runs(Some(connection));
            }
            Ok(Identity::Other) => return Survival::Ended,
            Ok(Identity::Unknown) => return Survival::Runs(None),
            Err(_) => {}
        }
    }
    Survival::Unknown
}

impl TargetResponse {
    /// Returns whether only [`Self::settle`] can tell that the stream is complete, whose body has ended without an error.
    pub fn needs_settling(&self) -> bool {
        self.framing == BodyFraming::Connection && self.status.is_success()
    }

    /// Finds out whether the stream is complete, whose body has ended with its connection.
    ///
    /// With `last_event_id`, the target is asked for what follows that event. It is not if it is about to leave, as it
    /// may have to run what is sent to it until then.
    pub async fn settle(
        &mut self,
        context: &Context,
        outgoing: &OutgoingRequest,
        last_event_id: Option<u64>,
        deadline: Instant,
    ) -> Ending {
        let target = self.slot.target.clone();
        let ending = match survival(&target, deadline).await {
            Survival::Ended => Ending::Broken,
            Survival::Unknown => Ending::Unknown,
            Survival::Runs(connection) => {
                let asked = last_event_id.filter(|_| self.slot.target_stays());
                match (connection, asked) {
                    (Some(connection), Some(last_event_id)) => {
                        self.read_rest(connection, outgoing, last_event_id, deadline)
                            .await
                    }
                    _ => Ending::Complete,
                }
            }
        };
        context.metrics.count_connection_end(ending.as_str());
        log::info!(
            target: "target", request_id = outgoing.request_id.as_str(), target_id = target.id.as_str(),
            last_event_id = last_event_id.unwrap_or(0), end = ending.as_str();
            "A stream ended with its connection."
        );
        ending
    }

    /// Asks the target for what follows the event `last_event_id`, up to the first event of it.
    async fn read_rest(
        &mut self,
        connection: Connection,
        outgoing: &OutgoingRequest,
        last_event_id: u64,
        deadline: Instant,
    ) -> Ending {
        let until = deadline.min(Instant::now() + REST_TIMEOUT);
        let asked = self.ask_for_rest(connection, outgoing, last_event_id, until, deadline);
        match asked.await {
            Ok(Rest::Stream) => {}
            Ok(Rest::Declined(status)) => {
                log::debug!(
                    target: "target", request_id = outgoing.request_id.as_str(), target_id = self.slot.target.id.as_str(), last_event_id,
                    status = status.as_u16();
                    "A target declines to continue a stream."
                );
                return Ending::Complete;
            }
            Err(failure) => {
                log::info!(
                    target: "target", request_id = outgoing.request_id.as_str(), target_id = self.slot.target.id.as_str(), last_event_id;
                    "A target does not say what follows the last event: {failure}."
                );
                return Ending::Unsaid;
            }
        }
        let mut buffer = EventBuffer::continuing(Some(last_event_id), Repeats::Refused);
        let mut start = BytesMut::new();
        let read = loop {
            match self.next(until).await {
                Ok(Some(bytes)) => {
                    start.extend_from_slice(&bytes);
                    match buffer.push(&bytes) {
                        Ok(Some(_)) => return Ending::Continued(start.freeze()),
                        Ok(None) => {}
                        // The stream from its start, which does not continue this one.
                        Err(_) => break Ok(false),
                    }
                }
                Ok(None) => break Ok(true),
                Err(failure) => break Err(failure),
            }
        };
        if !matches!(read, Ok(true)) {
            self.close();
        }
        match read {
            _ if buffer.scanner().is_inside() => Ending::Broken,
            Ok(_) => Ending::Complete,
            Err(_) => Ending::Unsaid,
        }
    }

    /// Sends the request once more, for the events after `last_event_id`, and takes over the response.
    async fn ask_for_rest(
        &mut self,
        connection: Connection,
        outgoing: &OutgoingRequest,
        last_event_id: u64,
        until: Instant,
        deadline: Instant,
    ) -> Result<Rest, AttemptFailure> {
        let left = deadline.saturating_duration_since(Instant::now());
        let request = to_request(&self.slot, outgoing, Some(last_event_id), left);
        let sent = try_send(connection, request, &outgoing.request_id, &self.slot, until);
        let (connection, response) = sent.await?;
        let (parts, body) = response.into_parts();
        let is_kept = connection.is_kept;
        let fields = read_fields(&self.slot, &outgoing.request_id, &parts, is_kept);
        check(fields.kind)?;
        let status = parts.status;
        if continues_stream(status, &parts.headers) {
            self.replace(parts, fields, body, connection);
            Ok(Rest::Stream)
        } else if status.is_server_error() {
            Err(AttemptFailure::InvalidResponse)
        } else {
            Ok(Rest::Declined(status))
        }
    }
}
