//! The HTTP server of the stand-in engine.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::{
    counts::ExecutionCounts,
    fault::Fault,
    response::{self, CompletionRequest},
};
use crate::serve::RunningServer;

/// How fast the stand-in engine produces tokens. The default takes no time.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineOptions {
    /// The duration of one step, in which each running completion produces one token, in microseconds.
    pub step_us: u64,
    /// What each other running request adds to the duration of a step, in microseconds.
    pub step_per_request_us: u64,
}

/// A stand-in engine on a loopback port, inside this process. It stops when dropped.
pub struct Engine {
    server: RunningServer,
    state: Arc<State>,
}

impl Engine {
    /// Starts the engine on a free loopback port.
    pub async fn start(options: EngineOptions) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts the engine at `address`.
    pub async fn start_at(address: SocketAddr, options: EngineOptions) -> Self {
        let state = Arc::new(State {
            options,
            counts: ExecutionCounts::default(),
            fault: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let router = Router::with_path("{**rest}").goal(Endpoint(state.clone()));
        let server = RunningServer::start_at(address, router).await;
        Self { server, state }
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the counts of the executed requests, which continue to change.
    #[must_use]
    pub fn counts(&self) -> &ExecutionCounts {
        &self.state.counts
    }

    /// Returns the number of requests that are being executed.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running.load(Ordering::Relaxed)
    }

    /// Sets the fault of the requests that arrive from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.lock_fault() = fault;
    }
}

struct State {
    options: EngineOptions,
    counts: ExecutionCounts,
    fault: Mutex<Fault>,
    running: AtomicUsize,
}

impl State {
    fn lock_fault(&self) -> std::sync::MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the duration of one step.
    async fn step(&self) {
        let others = self.running.load(Ordering::Relaxed).saturating_sub(1);
        let others = u64::try_from(others).unwrap_or(u64::MAX);
        let step_us = self.options.step_us + self.options.step_per_request_us * others;
        if step_us > 0 {
            tokio::time::sleep(Duration::from_micros(step_us)).await;
        }
    }
}

/// Counts one execution; one that is dropped before it finished counts as cancelled.
struct Execution {
    state: Arc<State>,
    tag: String,
    finished: bool,
}

impl Execution {
    fn start(state: Arc<State>, tag: &str) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        state.counts.update(tag, |one| one.started += 1);
        Self {
            state,
            tag: tag.to_owned(),
            finished: false,
        }
    }

    fn finish(&mut self) {
        self.finished = true;
        self.state.counts.update(&self.tag, |one| one.finished += 1);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.state
                .counts
                .update(&self.tag, |one| one.cancelled += 1);
        }
    }
}

struct Endpoint(Arc<State>);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == "/health" {
            res.status_code(StatusCode::OK);
            return;
        }
        let body = req
            .payload_with_max_size(32 * 1024 * 1024)
            .await
            .cloned()
            .unwrap_or_default();
        let fault = *self.0.lock_fault();
        match fault {
            Fault::Status(status) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                res.status_code(status);
            }
            Fault::CloseBeforeExecution => close_connection(),
            _ => self.execute(req, res, &body, fault).await,
        }
    }
}

impl Endpoint {
    async fn execute(&self, req: &Request, res: &mut Response, body: &[u8], fault: Fault) {
        let key = || req.header::<String>("idempotency-key");
        let tag = req
            .header::<String>("x-tag")
            .or_else(key)
            .unwrap_or_default();
        let path = req.uri().path();
        let mut execution = Execution::start(self.0.clone(), &tag);
        let completion = path.starts_with("/v1/") && path.ends_with("completions");
        let request = CompletionRequest::parse(body);
        let parts = if !completion {
            response::echo(&tag, req.method().as_str(), path, body)
        } else if request.stream {
            response::events(&tag, request.tokens())
        } else {
            response::document(&tag, request.tokens())
        };
        if completion && !request.stream {
            for _ in 0..request.tokens() {
                self.0.step().await;
            }
        }
        match fault {
            Fault::Hang => std::future::pending::<()>().await,
            Fault::CloseAfterExecution => {
                execution.finish();
                close_connection();
            }
            _ => {}
        }
        let content_type = if completion && request.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let _ = res.add_header("content-type", content_type, true);
        let paced = completion && request.stream;
        if fault == Fault::None && !paced {
            execution.finish();
            let body: Vec<u8> = parts.concat();
            let _ = res.write_body(body);
            return;
        }
        res.stream(body_stream(execution, parts, fault, paced));
    }
}

/// Closes the connection before any byte of the response is sent.
///
/// Unwinding drops the connection's task; `resume_unwind` prints no panic message.
fn close_connection() -> ! {
    std::panic::resume_unwind(Box::new("the stand-in closes the connection"))
}

struct BodyState {
    execution: Execution,
    parts: std::vec::IntoIter<Bytes>,
    sent: usize,
    fault: Fault,
    paced: bool,
}

fn body_stream(
    execution: Execution,
    parts: Vec<Bytes>,
    fault: Fault,
    paced: bool,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let state = BodyState {
        execution,
        parts: parts.into_iter(),
        sent: 0,
        fault,
        paced,
    };
    stream::unfold(state, next_part)
}

async fn next_part(mut state: BodyState) -> Option<(io::Result<Bytes>, BodyState)> {
    match state.fault {
        Fault::TruncateAfter { parts } if state.sent == parts => {
            return Some((Err(io::Error::other("cut")), state));
        }
        Fault::HangAfter { parts } if state.sent == parts => {
            std::future::pending::<()>().await;
        }
        _ => {}
    }
    if state.paced {
        state.execution.state.step().await;
    }
    let Some(part) = state.parts.next() else {
        state.execution.finish();
        return None;
    };
    state.sent += 1;
    Some((Ok(part), state))
}
