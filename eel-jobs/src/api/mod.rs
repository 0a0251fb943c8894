//! The HTTP API for batch jobs, modelled on the `OpenAI` batch API.

mod response;
mod results;
mod submit;

use std::sync::Arc;

use eel_batch::{
    JobId,
    store::{CancelOutcome, JobView},
};
use eel_store::KeyValue;
use eel_verdict::{Reason, Refusal};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::{Host, JobNode};
use response::ApiError;

/// Returns the routes under `/v1/batches`.
#[must_use]
pub fn router<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) -> Router {
    let endpoint = |operation| Endpoint {
        node: node.clone(),
        operation,
    };
    Router::with_path("v1/batches")
        .post(endpoint(Operation::Submit))
        .push(
            Router::with_path("{job}")
                .get(endpoint(Operation::Get))
                .push(Router::with_path("results").get(endpoint(Operation::Results)))
                .push(Router::with_path("cancel").post(endpoint(Operation::Cancel))),
        )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Submit,
    Get,
    Results,
    Cancel,
}

struct Endpoint<S, H> {
    node: Arc<JobNode<S, H>>,
    operation: Operation,
}

#[async_trait]
impl<S: KeyValue, H: Host> Handler for Endpoint<S, H> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let node = &self.node;
        let outcome = match self.operation {
            Operation::Submit => submit::submit(node, req, res).await,
            Operation::Get => get(node, req, res).await,
            Operation::Results => results::stream(node, req, res).await,
            Operation::Cancel => cancel(node, req, res).await,
        };
        if let Err(error) = outcome {
            if self.operation == Operation::Submit {
                let labels = error.reason().into();
                node.metrics.jobs_refused.get_or_create(&labels).inc();
            }
            response::write_error(res, &error);
        }
    }
}

async fn get<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), ApiError> {
    let (job, view) = find_job(node, req).await?;
    response::write_status(res, job, &view);
    Ok(())
}

async fn cancel<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), ApiError> {
    let (job, _) = find_job(node, req).await?;
    // An ended job is left unchanged; the response shows its state.
    match node.jobs.cancel(job).await {
        Ok(CancelOutcome::Cancelled | CancelOutcome::Ended) => get(node, req, res).await,
        Ok(CancelOutcome::Unknown) => Err(ApiError::unknown_job()),
        Err(_) => Err(ApiError::from(Refusal::may_have_run(
            Reason::StoreUnavailable,
        ))),
    }
}

/// Reads the job named in the path. A job of another caller is reported as unknown.
async fn find_job<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
) -> Result<(JobId, JobView), ApiError> {
    let caller = node.host.authenticate(req.headers())?;
    let job = req.param::<String>("job");
    let job: JobId = job
        .and_then(|text| text.parse().ok())
        .ok_or_else(ApiError::unknown_job)?;
    let view = node.jobs.get(job).await;
    let view = view.map_err(|_| ApiError::store_unavailable())?;
    let own = view.filter(|view| view.head.caller == caller);
    own.map(|view| (job, view))
        .ok_or_else(ApiError::unknown_job)
}
