//! The admin listener: metrics, health and readiness.

use std::sync::Arc;

use eel_record::NodeStatus;
use eel_telemetry::metrics;
use http::StatusCode;
use prometheus_client::registry::Registry;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, writing::Json};

use crate::node::Context;

/// Returns the routes `/metrics`, `/healthz`, `/readyz` and `/status`.
pub(crate) fn router(context: Arc<Context>, registry: Registry) -> Router {
    Router::new()
        .push(Router::with_path("metrics").get(MetricsPage(registry)))
        .push(Router::with_path("healthz").get(Healthz))
        .push(Router::with_path("readyz").get(Readyz(context.clone())))
        .push(Router::with_path("status").get(StatusPage(context)))
}

struct MetricsPage(Registry);

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match metrics::encode(&self.0) {
            Ok(text) => {
                let _ = res.add_header("content-type", metrics::CONTENT_TYPE, true);
                let _ = res.write_body(text);
            }
            Err(_) => {
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

struct Healthz;

#[async_trait]
impl Handler for Healthz {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::OK);
    }
}

/// Ready once a configuration is in force and at least one target is in use, until the node drains.
struct Readyz(Arc<Context>);

#[async_trait]
impl Handler for Readyz {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let context = &self.0;
        let is_ready = !context.leaving.is_cancelled()
            && context.in_force.revision().0 > 0
            && context.metrics.targets.get() > 0;
        res.status_code(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
}

/// Tells which records are in force here, for the `status` verb of the command line.
struct StatusPage(Arc<Context>);

#[async_trait]
impl Handler for StatusPage {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let context = &self.0;
        let live = context.in_force.live();
        res.render(Json(NodeStatus {
            name: context.identity.vm.clone(),
            data_centre: context.data_centre.clone(),
            revision: live.snapshot.revision,
            in_force: live.snapshot.in_force.clone(),
            problems: context.in_force.problems().to_vec(),
            targets: Vec::new(),
        }));
    }
}
