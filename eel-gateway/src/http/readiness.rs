//! Responds to the load balancer's readiness checks.

use std::{convert::Infallible, sync::Arc};

use eel_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::{Body, empty};
use crate::context::Context;

/// Responds to readiness checks until the process ends.
pub async fn serve_readiness(context: Arc<Context>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                super::server::on_accept_error(&error).await;
                continue;
            }
        };
        let context = context.clone();
        let service = service_fn(move |request| {
            let response = respond(&context, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            if let Err(error) = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await
            {
                log::debug!(target: "ready", "A connection of the load balancer ended with an error: {error}.");
            }
        });
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
