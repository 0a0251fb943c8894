//! Receives the body of a caller's request, or refuses the request.

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use eel_verdict::{Reason, Refusal};
use http::{Extensions, HeaderValue, Response, header};
use hyper::body::Incoming;
use rand::RngExt as _;
use tokio_util::sync::CancellationToken;

use super::{
    Body,
    body::{BodyError, read_body},
    budget::HoldKind,
    connections::{Connection, Phase},
    refuse,
};
use crate::context::Context;

/// When callers should retry after a refusal for want of memory, in ms; spread, so that they do not return together. Slow
/// bodies are evicted after a quarter of a second.
const NO_MEMORY_RETRY_MS: std::ops::Range<u64> = 300..900;

/// The connection of a request, in the request's extensions.
#[derive(Clone)]
pub struct Origin {
    pub address: IpAddr,
    pub connection: Arc<Connection>,
}

/// Receives a body of at most `limit` bytes.
///
/// # Errors
///
/// The refusal of a request whose body cannot be received. It has not run, and its connection is closed.
pub async fn receive_body(
    context: &Context,
    extensions: &Extensions,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, Response<Body>> {
    let Some(origin) = extensions.get::<Origin>() else {
        return Err(refuse(&Refusal::not_run(Reason::BadRequest)));
    };
    let evicted = CancellationToken::new();
    let kind = HoldKind::Arriving;
    let held = context.memory.open(origin.address, kind, evicted.clone());
    origin.connection.set_phase(Phase::Body);
    let read = read_body(body, limit, held, &evicted).await;
    origin.connection.set_phase(Phase::Busy);
    read.map_err(|error| on_error(context, error))
}

fn on_error(context: &Context, error: BodyError) -> Response<Body> {
    let (reason, outcome) = match error {
        BodyError::TooLarge => (Reason::TooLarge, "too_large"),
        BodyError::Incomplete => (Reason::BadRequest, "incomplete"),
        BodyError::TimedOut => (Reason::RequestTimeout, "timed_out"),
        BodyError::NoMemory => (Reason::Overloaded, "no_memory"),
    };
    context.metrics.count_body(outcome);
    let mut refusal = Refusal::not_run(reason);
    if error == BodyError::NoMemory {
        refusal = refusal.retry_after(rand::rng().random_range(NO_MEMORY_RETRY_MS));
    }
    let mut response = refuse(&refusal);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
