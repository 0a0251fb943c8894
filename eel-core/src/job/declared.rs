//! Batch jobs that are declared as records.

use std::{fs, path::Path};

use eel_batch::{JobId, JobLimits, JobPlan, JobTerms};
use eel_record::{
    Declaration, Declarations, DesiredJobState, Fault, JobItems, JobSpec, RecordKey, Spec,
};

/// A declared job whose items have been read and validated.
#[derive(Clone, Debug)]
pub struct DeclaredJob {
    /// The record that declares the job.
    pub key: RecordKey,
    /// The job's identifier, derived from the caller and the record key.
    pub id: JobId,
    /// The job to submit; `None` if the record declares it as cancelled.
    pub plan: Option<JobPlan>,
}

/// Reads and validates the items of every declared job; invalid ones are added to `declarations.problems`.
#[must_use]
pub fn resolve_jobs(declarations: &mut Declarations) -> Vec<DeclaredJob> {
    let mut jobs = Vec::new();
    let mut problems = Vec::new();
    for (key, declaration) in &declarations.records {
        let Some(Spec::Job(spec)) = &declaration.spec else {
            continue;
        };
        match resolve(key, declaration, spec) {
            Ok(job) => jobs.push(job),
            Err(message) => {
                let field = match &spec.items {
                    JobItems::Inline(_) => "spec.items",
                    JobItems::File(_) => "spec.items_file",
                };
                problems.push(declaration.problem(field, Fault::Syntax(message)));
            }
        }
    }
    declarations.problems.extend(problems);
    jobs
}

fn resolve(
    key: &RecordKey,
    declaration: &Declaration,
    spec: &JobSpec,
) -> Result<DeclaredJob, String> {
    let terms = JobTerms {
        caller: spec.caller.clone(),
        idempotency_key: key.to_string().into(),
        service: spec.service.clone(),
        repeatable: spec.repeatable,
        deadline_unix_ms: spec.deadline_unix_ms,
        retention_ms: spec.retention_ms,
    };
    let plan = match spec.state {
        DesiredJobState::Run => Some(plan(&terms, declaration, spec)?),
        DesiredJobState::Cancelled => None,
    };
    Ok(DeclaredJob {
        key: key.clone(),
        id: JobId::derive(&terms.caller, &terms.idempotency_key),
        plan,
    })
}

fn plan(terms: &JobTerms, declaration: &Declaration, spec: &JobSpec) -> Result<JobPlan, String> {
    let lines = match &spec.items {
        JobItems::Inline(items) => items.join("\n").into_bytes(),
        JobItems::File(file) => {
            let directory = Path::new(&declaration.file).parent();
            let path = directory.unwrap_or(Path::new("")).join(file.as_str());
            fs::read(&path).map_err(|err| format!("cannot read {}: {err}", path.display()))?
        }
    };
    let plan = JobPlan::parse(terms, &lines, JobLimits::default());
    plan.map_err(|report| report.current_context().to_string())
}
