//! HTTP client of the entry nodes' batch API.

use std::time::Duration;

use eel_types::Name;
use eel_verdict::Verdict;
use error_stack::{Report, ResultExt as _};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};

use super::{Error, JobStatus};

const MAX_ROUNDS: u32 = 3;
const BACKOFF_MS: u64 = 250;
const VERDICT_HEADER: &str = "x-eel-verdict";

/// Client of the batch API; tries the entry nodes in order until one responds.
#[derive(Clone, Debug)]
pub struct JobClient {
    http: Client,
    entries: Vec<Name>,
    key: Name,
}

impl JobClient {
    /// Creates a client of the entry nodes at the base URLs `entries` that authenticates with a caller's `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(
        entries: Vec<Name>,
        key: Name,
        connect_timeout_ms: u64,
    ) -> Result<Self, Report<Error>> {
        let http = Client::builder()
            .connect_timeout(Duration::from_millis(connect_timeout_ms))
            .build()
            .change_context(Error::Unreachable)?;
        Ok(Self { http, entries, key })
    }

    /// Fetches the status of job `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry node responds, or one refuses the request.
    pub async fn get(&self, id: &str) -> Result<JobStatus, Report<Error>> {
        let path = format!("/v1/batches/{id}");
        let response = self.send(&Method::GET, &path, |request| request).await?;
        read_status(response).await
    }

    /// Cancels job `id`; results of items that have ended stay readable.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry node responds, or one refuses the request.
    pub async fn cancel(&self, id: &str) -> Result<JobStatus, Report<Error>> {
        let path = format!("/v1/batches/{id}/cancel");
        let response = self.send(&Method::POST, &path, |request| request).await?;
        read_status(response).await
    }

    /// Sends an idempotent request to each entry node in order until one gives a final response; retries all of them
    /// with exponential backoff.
    pub(super) async fn send(
        &self,
        method: &Method,
        path: &str,
        build: impl Fn(RequestBuilder) -> RequestBuilder,
    ) -> Result<Response, Report<Error>> {
        let mut in_doubt = false;
        let mut last_error = Report::new(Error::Unreachable);
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(Duration::from_millis(BACKOFF_MS << round)).await;
            }
            for entry in &self.entries {
                let url = format!("{}{path}", entry.trim_end_matches('/'));
                let request = self.http.request(method.clone(), url);
                match build(request.bearer_auth(&self.key)).send().await {
                    Ok(response) if response.status().is_success() => return Ok(response),
                    Ok(response) if is_final_status(response.status()) => {
                        return Err(Report::new(refusal(response, in_doubt).await));
                    }
                    Ok(response) => last_error = Report::new(refusal(response, in_doubt).await),
                    Err(err) => {
                        in_doubt |= !err.is_connect();
                        last_error =
                            Report::new(err).change_context(Error::without_response(in_doubt));
                    }
                }
                in_doubt |= last_error.current_context().may_have_taken_effect();
            }
        }
        Err(last_error)
    }
}

/// Returns `true` for error statuses that another node, or the same node later, would return as well.
fn is_final_status(status: StatusCode) -> bool {
    !matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

async fn refusal(response: Response, in_doubt: bool) -> Error {
    let verdict = response.headers().get(VERDICT_HEADER);
    let is_not_run = verdict.is_some_and(|verdict| verdict == Verdict::NotRun.as_str());
    Error::Refused {
        status: response.status().as_u16(),
        is_certain: !in_doubt && (is_not_run || response.status().is_client_error()),
        body: response.text().await.unwrap_or_default(),
    }
}

pub(super) async fn read_status(response: Response) -> Result<JobStatus, Report<Error>> {
    response.json().await.change_context(Error::InvalidResponse)
}
