//! The endpoints `/metrics`, `/healthz` and `/readyz`.

use eel_telemetry::metrics;
use http::StatusCode;
use prometheus_client::registry::Registry;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

/// Returns a router for `/metrics` with the metrics of `registry`, `/healthz`, and `/readyz`, which responds with
/// status 200 while `is_ready` returns `true` and with 503 otherwise.
pub fn router(registry: Registry, is_ready: impl Fn() -> bool + Send + Sync + 'static) -> Router {
    let page = |path, page| Router::with_path(path).get(Endpoint(page));
    Router::new()
        .push(page("metrics", Page::Metrics(Box::new(registry))))
        .push(page("healthz", Page::Healthy))
        .push(page("readyz", Page::Ready(Box::new(is_ready))))
}

enum Page {
    Metrics(Box<Registry>),
    Healthy,
    Ready(Box<dyn Fn() -> bool + Send + Sync>),
}

struct Endpoint(Page);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match &self.0 {
            Page::Metrics(registry) => write_metrics(registry, res),
            Page::Healthy => {
                res.status_code(StatusCode::OK);
            }
            Page::Ready(is_ready) => {
                res.status_code(if is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                });
            }
        }
    }
}

fn write_metrics(registry: &Registry, res: &mut Response) {
    match metrics::encode(registry) {
        Ok(text) => {
            let _ = res.add_header("content-type", metrics::CONTENT_TYPE, true);
            let _ = res.write_body(text);
        }
        Err(_) => {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}
