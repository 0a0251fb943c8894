//! Sends the online requests of the quickstart.

use std::fmt;

use eel_telemetry::trace::TRACEPARENT;
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;
use serde::Serialize;

use super::{Error, fleet::Fleet};

/// One of the online requests of the quickstart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// A completion whose response is one JSON document.
    WholeCompletion,
    /// A completion whose response is a stream of server-sent events.
    StreamedCompletion,
    /// A request to a plain service.
    PlainCall,
}

/// The response to one request.
#[derive(Clone, Debug, Serialize)]
pub struct Response {
    /// The request that this is the response to.
    pub step: Step,
    /// The trace that the request belongs to, 32 hexadecimal digits.
    pub trace_id: String,
    /// The HTTP status code.
    pub status: u16,
    /// The complete body.
    pub body: String,
}

impl Step {
    const ALL: [Self; 3] = [
        Self::WholeCompletion,
        Self::StreamedCompletion,
        Self::PlainCall,
    ];

    /// Returns the URL path of the request.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::WholeCompletion | Self::StreamedCompletion => "/v1/completions",
            Self::PlainCall => "/services/dispatch/alerts",
        }
    }

    fn body(self) -> &'static str {
        match self {
            Self::WholeCompletion => r#"{"model":"scribe","prompt":"Tow 3 is up.","max_tokens":3}"#,
            Self::StreamedCompletion => {
                r#"{"model":"scribe","prompt":"Tow 3 is down.","max_tokens":3,"stream":true}"#
            }
            Self::PlainCall => "tow plane ready",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WholeCompletion => "whole completion",
            Self::StreamedCompletion => "streamed completion",
            Self::PlainCall => "plain call",
        })
    }
}

/// Sends the requests one after the other, each after the complete response to the one before.
pub(super) async fn send_all(fleet: &Fleet) -> Result<Vec<Response>, Report<Error>> {
    let mut responses = Vec::new();
    for step in Step::ALL {
        responses.push(send(step, fleet).await.change_context(Error::Request)?);
    }
    Ok(responses)
}

async fn send(step: Step, fleet: &Fleet) -> reqwest::Result<Response> {
    let trace_id = format!("{:032x}", rand::rng().random::<u128>());
    let span_id: u64 = rand::rng().random();
    let request = fleet
        .post(step.path())
        .header(TRACEPARENT, format!("00-{trace_id}-{span_id:016x}-01"))
        .header("x-tag", "quickstart")
        .body(step.body());
    let response = request.send().await?;
    Ok(Response {
        step,
        trace_id,
        status: response.status().as_u16(),
        body: response.text().await?,
    })
}
