//! The HTTP handler of callers' requests.

use std::sync::Arc;

use eel_telemetry::trace;
use eel_types::RequestId;
use eel_verdict::{Reason, Refusal};
use http::Version;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::{
    claimed::run_claimed,
    guard::OpenRequest,
    intake::accept,
    response,
    run::{TargetResponse, run},
};
use crate::node::Context;

/// Returns the routes for callers; those of `jobs` take precedence.
pub(crate) fn router(context: Arc<Context>, jobs: Router) -> Router {
    let requests = Router::with_path("{**rest}").goal(Serve(context));
    Router::new().push(jobs).push(requests)
}

struct Serve(Arc<Context>);

#[async_trait]
impl Handler for Serve {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = RequestId::random(&mut rand::rng());
        let metrics = &self.0.metrics;
        metrics.requests.inc();
        match self.serve(id, req).await {
            Ok((response, open)) => response::write(res, id, response, open, metrics),
            Err(refusal) => {
                log::debug!(target: "serve", "Request {id} was refused: {refusal}.");
                response::write_refusal(res, id, &refusal, metrics);
            }
        }
    }
}

impl Serve {
    async fn serve(
        &self,
        id: RequestId,
        req: &mut Request,
    ) -> Result<(TargetResponse, OpenRequest), Refusal> {
        let context = &self.0;
        if context.stopping.is_cancelled() {
            const RETRY_AFTER_MS: u64 = 100;
            return Err(Refusal::not_run(Reason::Leaving).retry_after(RETRY_AFTER_MS));
        }
        let traceparent = req.header::<String>(trace::TRACEPARENT);
        let parent = trace::parent_context(traceparent.as_deref(), context.is_sampled());
        let span = trace::start_span("entry", parent);
        span.set_attribute(|| ("request_id", id.to_string()));
        let request = accept(context, id, req).await?;
        let permit = context.routing.admit(&request.caller)?;
        let open = OpenRequest::new(context.metrics.clone(), permit);
        let response = if request.needs_claim() {
            run_claimed(context.clone(), request, span).await?
        } else {
            run(context, &request, &span).await?
        };
        if matches!(response, TargetResponse::Stream(_)) && req.version() < Version::HTTP_11 {
            // In HTTP/1.0 a truncated response looks complete unless its length is stated.
            return Err(Refusal::may_have_run(Reason::TargetFailed));
        }
        Ok((response, open))
    }
}
