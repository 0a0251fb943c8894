//! The HTTP listener for callers.

use std::{convert::Infallible, future::poll_fn, io, sync::Arc, time::Duration};

use eel_table::RequestLimits;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    connections::{Connection, Phase},
    handler::handle,
    memory::HeldResponse,
    received::Origin,
};
use crate::context::Context;

/// The pause after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval of TCP keep-alive probes on callers' idle connections, which detect callers that have disappeared.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// How long and how many bytes a closed connection is read after its last response: unread bytes would reset it, and the
/// caller would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// Serves callers until `closing` is cancelled; open connections are tracked by `tracker`.
pub async fn serve_callers(
    context: Arc<Context>,
    listener: TcpListener,
    closing: CancellationToken,
    tracker: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let origin = Origin {
                    address: address.ip(),
                    connection: Arc::new(context.connections.add()),
                };
                let connection = serve_connection(context.clone(), stream, origin, closing.clone());
                tracker.spawn(connection);
                let made_room = context
                    .connections
                    .make_room(|closed| on_closed(&context, closed));
                tokio::select! {
                    () = made_room => {}
                    () = closing.cancelled() => return,
                }
            }
            Err(error) => on_accept_error(&context, &error).await,
        }
    }
}

pub(super) async fn on_accept_error(context: &Context, error: &io::Error) {
    if let Some(suppressed) = context.accept_log.take(context.clock.now_ms()) {
        log::warn!(target: "http", error:% = error, suppressed; "Cannot accept a connection.");
    }
    sleep(ACCEPT_RETRY_DELAY).await;
}

/// Records that connections were closed for new ones.
pub(super) fn on_closed(context: &Context, closed: usize) {
    context.metrics.closed_connections.inc_by(closed as u64);
    if let Some(suppressed) = context.closed_log.take(context.clock.now_ms()) {
        log::warn!(target: "http", closed, suppressed; "Idle or slow connections are closed for new ones.");
    }
}

async fn serve_connection(
    context: Arc<Context>,
    stream: TcpStream,
    origin: Origin,
    closing: CancellationToken,
) {
    if let Err(error) = set_socket_options(&stream) {
        log::debug!(target: "http", "Cannot set the socket options of a caller's connection: {error}.");
    }
    let limits = context
        .table
        .load()
        .as_ref()
        .map_or_else(RequestLimits::default, |table| table.limits);
    let evicted = origin.connection.closing().clone();
    let service =
        service_fn(move |request| Box::pin(respond(context.clone(), origin.clone(), request)));
    // hyper has one timer for both the idle time and the time to read the head of the next request.
    let head_timeout_ms = limits.idle_timeout_ms + limits.header_timeout_ms;
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break ended,
            () = closing.cancelled(), if !is_closing => {
                Pin::new(&mut connection).graceful_shutdown();
                is_closing = true;
            }
            () = evicted.cancelled() => return,
        }
    };
    if let Err(error) = &ended {
        log::debug!(target: "http", "A caller's connection ended with an error: {error}.");
    }
    // The refusal of a malformed head is an error here, but has a response.
    if ended.map_or_else(|error| error.is_parse(), |()| true) {
        let stream = connection.into_parts().io.into_inner();
        tokio::select! {
            () = linger(stream) => {}
            () = evicted.cancelled() => {}
        }
    }
}

/// Handles a request of a connection.
async fn respond(
    context: Arc<Context>,
    origin: Origin,
    mut request: Request<Incoming>,
) -> Result<Response<HeldResponse<InResponse>>, Infallible> {
    origin.connection.set_phase(Phase::Busy);
    let guard = InResponse(origin.connection.clone());
    let (draining, memory) = (context.draining.clone(), context.memory.clone());
    let address = origin.address;
    request.extensions_mut().insert(origin);
    let mut response = handle(context, request).await;
    if draining.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let evicted = guard.0.closing().clone();
    Ok(response.map(|body| HeldResponse::new(body, memory, address, evicted, guard)))
}

/// A connection is idle once the body of its response has been passed on completely.
struct InResponse(Arc<Connection>);

impl Drop for InResponse {
    fn drop(&mut self) {
        self.0.set_phase(Phase::Idle);
    }
}

/// Ends the sending direction of a connection, and discards for a short time what the caller still sends.
async fn linger(mut stream: TcpStream) {
    let discarding = async {
        stream.shutdown().await?;
        let mut buffer = vec![0; 8 * 1024];
        let mut left = MAX_LINGER_BYTES;
        loop {
            let length = stream.read(&mut buffer).await?;
            if length == 0 || length > left {
                return Ok::<_, io::Error>(());
            }
            left -= length;
        }
    };
    // A reset or a caller that keeps on sending ends the connection in the same way.
    let _ = timeout(LINGER_TIMEOUT, discarding).await;
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keep_alive)
}
