//! The HTTP listener for callers.

use std::{convert::Infallible, io, pin::pin, sync::Arc, time::Duration};

use eel_table::RequestLimits;
use http::{HeaderValue, header};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::handler::handle;
use crate::context::Context;

/// The pause after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval of TCP keep-alive probes on callers' idle connections, which detect callers that have disappeared.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Serves callers until `closing` is cancelled; open connections are tracked by `connections`.
pub async fn serve_callers(
    context: Arc<Context>,
    listener: TcpListener,
    closing: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(context.clone(), stream, closing.clone());
                connections.spawn(connection);
            }
            Err(error) => on_accept_error(&error).await,
        }
    }
}

pub(super) async fn on_accept_error(error: &io::Error) {
    log::warn!(target: "http", error:% = error; "Cannot accept a connection.");
    sleep(ACCEPT_RETRY_DELAY).await;
}

async fn serve_connection(context: Arc<Context>, stream: TcpStream, closing: CancellationToken) {
    if let Err(error) = set_socket_options(&stream) {
        log::debug!(target: "http", "Cannot set the socket options of a caller's connection: {error}.");
    }
    let limits = context
        .table
        .load()
        .as_ref()
        .map_or_else(RequestLimits::default, |table| table.limits);
    let service = service_fn(move |request| {
        let context = context.clone();
        async move {
            let draining = context.draining.clone();
            let mut response = handle(context, request).await;
            if draining.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // hyper has one timer for both the idle time and the time to read the head of the next request.
    let head_timeout_ms = limits.idle_timeout_ms + limits.header_timeout_ms;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8 * 1024) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "http", "A caller's connection ended with an error: {error}.");
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keep_alive)
}
