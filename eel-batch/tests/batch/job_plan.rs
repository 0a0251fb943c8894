//! Guards against invalid jobs that are accepted, or refused without the invalid line, and against a resend that is
//! taken for another job because its id or digest differs.

use eel_batch::{JobId, JobLimits, JobPlan, JobTerms, PlanError};

fn terms() -> JobTerms {
    JobTerms {
        caller: "ridgelog".into(),
        idempotency_key: "day-1".into(),
        service: "scribe".into(),
        repeatable: false,
        deadline_unix_ms: 1_000,
        retention_ms: 1,
    }
}

fn line(custom_id: &str) -> String {
    format!(r#"{{"custom_id":"{custom_id}","method":"POST","url":"/v1/completions","body":{{}}}}"#)
}

#[test]
fn bad_jobs() {
    let good = line("a");
    let long = "x".repeat(600);
    let cases = [
        (String::new(), "the job holds no items"),
        ("\n \n".to_owned(), "the job holds no items"),
        (format!("{good}\nnonsense"), "line 2: expected ident"),
        (
            format!("{good}\n\n{good}"),
            "line 3: custom_id `a` stands on an earlier line too",
        ),
        (line(""), "line 1: custom_id is empty"),
        (line(&long), "line 1: custom_id exceeds 512 bytes"),
        (
            good.replace("/v1", "v1"),
            "line 1: url does not begin with a slash",
        ),
        (
            good.replace("POST", "BREW"),
            "line 1: unknown variant `BREW`",
        ),
        (
            ["a", "b", "c", "d"].map(line).join("\n"),
            "line 4: a job may hold at most 3 items",
        ),
        (
            "x".repeat(5_000),
            "the job has 5000 bytes, at most 1000 are allowed",
        ),
    ];
    let limits = JobLimits {
        items: 3,
        bytes: 1_000,
    };
    for (lines, expected) in cases {
        let report = JobPlan::parse(&terms(), lines.as_bytes(), limits).unwrap_err();
        let shown = report.current_context().to_string();
        assert!(shown.starts_with(expected), "{shown}");
    }
    let keyless = JobTerms {
        idempotency_key: "".into(),
        ..terms()
    };
    let report = JobPlan::parse(&keyless, good.as_bytes(), limits).unwrap_err();
    assert_eq!(*report.current_context(), PlanError::NoKey);
}

#[test]
fn identity_of_a_job() {
    let plan = |terms: &JobTerms, lines: &str| {
        JobPlan::parse(terms, lines.as_bytes(), JobLimits::default()).unwrap()
    };
    let first = plan(&terms(), &line("a"));
    let later = JobTerms {
        deadline_unix_ms: 9_000,
        ..terms()
    };
    let resend = plan(&later, &line("a"));
    assert_eq!(
        (first.job, &first.head.digest),
        (resend.job, &resend.head.digest)
    );
    let other = plan(&terms(), &line("b"));
    assert_eq!(first.job, other.job);
    assert_ne!(first.head.digest, other.head.digest);
    assert_ne!(JobId::derive("ab", "c"), JobId::derive("a", "bc"));
    assert_eq!(first.job.to_string().parse(), Ok(first.job));
}
