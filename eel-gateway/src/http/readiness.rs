//! Responds to the load balancer's readiness checks.

use std::{convert::Infallible, sync::Arc, time::Duration};

use eel_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::{Body, Connections, connections::Phase, empty, server};
use crate::context::Context;

/// The maximum number of connections for readiness checks: each node of the load balancer needs one or two.
const MAX_CONNECTIONS: usize = 64;
/// How long a connection may take until the head of its next check: longer than the interval of checks.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Responds to readiness checks until the process ends.
pub async fn serve_readiness(context: Arc<Context>, listener: TcpListener) {
    let connections = Connections::new(MAX_CONNECTIONS, context.clock);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                server::on_accept_error(&context, &error).await;
                continue;
            }
        };
        let connection = connections.add();
        let checked = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                connection.set_phase(Phase::Idle);
                let response = respond(&checked, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let ended = tokio::select! {
                ended = served => ended,
                () = connection.closing().cancelled() => return,
            };
            if let Err(error) = ended {
                log::debug!(target: "ready", "A connection of the load balancer ended with an error: {error}.");
            }
        });
        connections
            .make_room(|closed| server::on_closed(&context, closed))
            .await;
    }
}

fn respond(context: &Context, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != READINESS_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    empty(if context.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}
