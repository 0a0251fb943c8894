//! Calls over HTTP with failover between endpoints, and the mapping of failures to store errors.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use reqwest::{Client, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{client::EtcdOptions, message::ErrorResponse};
use crate::{CallKind, RejectReason, StoreError, StoreResult};

const IDLE_CONNECTIONS: usize = 4;
const CODE_OUT_OF_RANGE: u32 = 11;
const CODE_NOT_FOUND: u32 = 5;

/// Sends calls to the endpoint that responded last, and to the others if it fails.
#[derive(Debug)]
pub struct HttpTransport {
    pooled: Client,
    fresh: Client, // never reuses a connection; for retries, since a pooled one may be dead
    streaming: Client,
    endpoints: Vec<String>,
    preferred: AtomicUsize,
}

impl HttpTransport {
    pub fn new(options: &EtcdOptions) -> StoreResult<Self> {
        let timeout = Duration::from_millis(options.call_timeout_ms);
        let builder = || Client::builder().no_proxy().connect_timeout(timeout);
        let build = |builder: reqwest::ClientBuilder| {
            builder.build().change_context(StoreError::NotApplied)
        };
        Ok(Self {
            pooled: build(
                builder()
                    .timeout(timeout)
                    .pool_max_idle_per_host(IDLE_CONNECTIONS),
            )?,
            fresh: build(builder().timeout(timeout).pool_max_idle_per_host(0))?,
            streaming: build(builder().pool_max_idle_per_host(0))?,
            endpoints: options.endpoints.clone(),
            preferred: AtomicUsize::new(0),
        })
    }

    /// Sends `request` and reads the complete response. Tries the next endpoint if the call certainly had no effect.
    pub async fn call<Q, A>(&self, path: &str, request: &Q, kind: CallKind) -> StoreResult<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(request)
            .change_context(StoreError::Rejected(RejectReason::Invalid))?;
        let body = Bytes::from(body);
        let first = self.preferred.load(Ordering::Relaxed);
        let mut failure = None;
        for attempt in 0..=self.endpoints.len() {
            let endpoint = (first + attempt) % self.endpoints.len();
            let client = if attempt == 0 {
                &self.pooled
            } else {
                &self.fresh
            };
            let url = format!("{}{path}", self.endpoints[endpoint]);
            match exchange(client.post(url).body(body.clone()), kind).await {
                Ok(body) => {
                    self.preferred.store(endpoint, Ordering::Relaxed);
                    return parse(&body, kind);
                }
                Err(error) => {
                    let again = matches!(
                        error.current_context(),
                        StoreError::Unavailable | StoreError::NotApplied
                    );
                    if !again {
                        return Err(error);
                    }
                    failure = Some(error);
                }
            }
        }
        Err(failure.unwrap_or_else(|| Report::new(kind.no_response_error())))
    }

    /// Opens a streamed response on a new connection, at the endpoint `attempt` places after the preferred one.
    pub async fn open<Q: Serialize + Sync>(
        &self,
        path: &str,
        request: &Q,
        attempt: usize,
    ) -> StoreResult<reqwest::Response> {
        let endpoint = (self.preferred.load(Ordering::Relaxed) + attempt) % self.endpoints.len();
        let url = format!("{}{path}", self.endpoints[endpoint]);
        let response = self
            .streaming
            .post(url)
            .json(request)
            .send()
            .await
            .change_context(StoreError::Unavailable)?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(Report::new(StoreError::Unavailable))
    }
}

async fn exchange(request: reqwest::RequestBuilder, kind: CallKind) -> StoreResult<Bytes> {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => {
            let context = if error.is_connect() {
                kind.not_executed_error()
            } else {
                kind.no_response_error()
            };
            return Err(Report::new(error).change_context(context));
        }
    };
    let status = response.status();
    let body = response
        .bytes()
        .await
        .change_context(kind.no_response_error())?;
    if status.is_success() {
        return Ok(body);
    }
    let error: ErrorResponse = serde_json::from_slice(&body).unwrap_or_default();
    let context = refusal(status, &error, kind);
    Err(Report::new(context).attach(error.message))
}

fn parse<A: DeserializeOwned>(body: &[u8], kind: CallKind) -> StoreResult<A> {
    serde_json::from_slice(body).change_context(kind.no_response_error())
}

/// Maps an error response to a store error. After a status that the service does not document, the effect is unknown.
fn refusal(status: StatusCode, error: &ErrorResponse, kind: CallKind) -> StoreError {
    let rejected = StoreError::Rejected;
    match status {
        StatusCode::TOO_MANY_REQUESTS => kind.not_executed_error(),
        StatusCode::PAYLOAD_TOO_LARGE => rejected(RejectReason::TooLarge),
        StatusCode::NOT_FOUND if error.code == CODE_NOT_FOUND => {
            rejected(RejectReason::LeaseNotFound)
        }
        StatusCode::BAD_REQUEST if error.code == CODE_OUT_OF_RANGE => {
            rejected(RejectReason::Compacted)
        }
        StatusCode::BAD_REQUEST if error.message.contains("too large") => {
            rejected(RejectReason::TooLarge)
        }
        StatusCode::BAD_REQUEST
        | StatusCode::NOT_FOUND
        | StatusCode::UNAUTHORIZED
        | StatusCode::FORBIDDEN => rejected(RejectReason::Invalid),
        _ => kind.no_response_error(),
    }
}
