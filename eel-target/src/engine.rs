//! The HTTP client for the target.

use std::time::Duration;

use eel_settings::EngineSettings;
use eel_types::is_final_status;
use eel_verdict::{Reason, Refusal};
use eel_wire::message::{Header, ServeRequest};
use error_stack::{Report, ResultExt as _};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use reqwest::{Client, Response, redirect, retry};

use crate::Error;

/// The interval of TCP keep-alive probes, which detect a connection whose state a middlebox has dropped.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Sends requests to the target over HTTP, each on a connection of its own.
pub(crate) struct Engine {
    client: Client,
    base_url: String,
}

impl Engine {
    pub(crate) fn new(settings: &EngineSettings) -> Result<Self, Report<Error>> {
        let client = Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            // A response does not name its request: on a kept connection, a late copy would be taken for the next one.
            .pool_max_idle_per_host(0)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_RETRIES)
            .build()
            .change_context(Error::Client)?;
        Ok(Self {
            client,
            base_url: settings.url.to_string(),
        })
    }

    /// Sends `request` and returns the target's response once its head has been received.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if its method is invalid or no connection could be made, else as may-have-run, also
    /// after a response whose status is that of no response.
    pub(crate) async fn send(
        &self,
        request: &ServeRequest,
        traceparent: Option<String>,
    ) -> Result<Response, Refusal> {
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        let url = format!("{}{}", self.base_url, request.path);
        let mut headers = to_header_map(&request.headers);
        if let Some(value) = traceparent.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(eel_telemetry::trace::TRACEPARENT, value);
        }
        let sent = self
            .client
            .request(method, url)
            .headers(headers)
            .body(request.body.clone())
            .send()
            .await;
        let response = sent.map_err(|error| to_refusal(&error))?;
        let status = response.status().as_u16();
        if is_final_status(status) {
            return Ok(response);
        }
        log::warn!(target: "target", status; "A response has a status that no response has; it is not used.");
        Err(Refusal::may_have_run(Reason::TargetFailed))
    }
}

fn to_refusal(error: &reqwest::Error) -> Refusal {
    if error.is_connect() || error.is_builder() {
        Refusal::not_run(Reason::TargetFailed)
    } else {
        Refusal::may_have_run(Reason::TargetFailed)
    }
}

fn to_header_map(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len() + 1);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

/// Returns the headers of a response without those of the connection.
pub(crate) fn response_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns whether a header belongs to the connection (RFC 9110, section 7.6.1), or is `content-length` or `date`.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "date"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
