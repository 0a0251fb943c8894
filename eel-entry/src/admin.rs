//! HTTP routes of the admin listener: metrics, health, readiness and configuration status.

use std::sync::Arc;

use eel_record::NodeStatus;
use prometheus_client::registry::Registry;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, writing::Json};

use crate::node::Context;

/// Returns the routes `/metrics`, `/healthz`, `/readyz` and `/status`.
pub(crate) fn router(context: Arc<Context>, registry: Registry) -> Router {
    let status = Router::with_path("status").get(StatusHandler(context.clone()));
    eel_admin::router(registry, move || is_ready(&context)).push(status)
}

/// Returns `true` while a configuration is in force, at least one target is in use and the node does not drain.
fn is_ready(context: &Context) -> bool {
    !context.draining.is_cancelled()
        && context.config.revision().0 > 0
        && context.metrics.targets.get() > 0
}

/// Reports the records in force on this node, for the `status` subcommand of the command line.
struct StatusHandler(Arc<Context>);

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let context = &self.0;
        let live = context.config.live();
        res.render(Json(NodeStatus {
            name: context.identity.vm.clone(),
            data_centre: context.data_centre.clone(),
            revision: live.snapshot.revision,
            in_force: live.snapshot.in_force.clone(),
            problems: context.config.problems().to_vec(),
            targets: Vec::new(),
        }));
    }
}
