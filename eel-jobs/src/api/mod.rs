//! The callers' interface to batch jobs, shaped after the `OpenAI` batch interface.

mod answer;
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
use answer::Problem;

/// Returns the routes below `/v1/batches`.
#[must_use]
pub fn router<S: KeyValue, H: Host>(node: &Arc<JobNode<S, H>>) -> Router {
    let endpoint = |verb| Endpoint {
        node: node.clone(),
        verb,
    };
    Router::with_path("v1/batches")
        .post(endpoint(Verb::Submit))
        .push(
            Router::with_path("{job}")
                .get(endpoint(Verb::Get))
                .push(Router::with_path("results").get(endpoint(Verb::Results)))
                .push(Router::with_path("cancel").post(endpoint(Verb::Cancel))),
        )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verb {
    Submit,
    Get,
    Results,
    Cancel,
}

struct Endpoint<S, H> {
    node: Arc<JobNode<S, H>>,
    verb: Verb,
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
        let outcome = match self.verb {
            Verb::Submit => submit::submit(node, req, res).await,
            Verb::Get => get(node, req, res).await,
            Verb::Results => results::stream(node, req, res).await,
            Verb::Cancel => cancel(node, req, res).await,
        };
        if let Err(problem) = outcome {
            if self.verb == Verb::Submit {
                let labels = problem.reason().into();
                node.metrics.jobs_refused.get_or_create(&labels).inc();
            }
            answer::write_problem(res, &problem);
        }
    }
}

async fn get<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let (job, view) = find(node, req).await?;
    answer::write_status(res, job, &view);
    Ok(())
}

async fn cancel<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), Problem> {
    let (job, _) = find(node, req).await?;
    // An ended job stays as it is; the answer tells its state.
    match node.jobs.cancel(job).await {
        Ok(CancelOutcome::Cancelled | CancelOutcome::Ended) => get(node, req, res).await,
        Ok(CancelOutcome::Unknown) => Err(Problem::unknown_job()),
        Err(_) => Err(Problem::from(Refusal::may_have_run(
            Reason::StoreUnavailable,
        ))),
    }
}

/// Reads the job that the path names; only its own caller may see it.
async fn find<S: KeyValue, H: Host>(
    node: &Arc<JobNode<S, H>>,
    req: &mut Request,
) -> Result<(JobId, JobView), Problem> {
    let caller = node.host.authenticate(req.headers())?;
    let job = req.param::<String>("job");
    let job: JobId = job
        .and_then(|text| text.parse().ok())
        .ok_or_else(Problem::unknown_job)?;
    let view = node.jobs.get(job).await;
    let view = view.map_err(|_| Problem::store_unavailable())?;
    let own = view.filter(|view| view.head.caller == caller);
    own.map(|view| (job, view)).ok_or_else(Problem::unknown_job)
}
