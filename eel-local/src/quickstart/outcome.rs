//! The outcome of the quickstart and its printed form.

use std::fmt;

use serde::Serialize;

use super::{JobOutcome, Response, SpanRecord};

const NS_PER_MS: f64 = 1e6;

/// The outcome of the quickstart.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The output of `apply` for the records.
    pub records: String,
    /// The responses to the online requests, in the order of the requests.
    pub answers: Vec<Response>,
    /// The outcome of the batch job.
    pub job: JobOutcome,
    /// The spans of all traced requests, ordered by start time.
    pub hops: Vec<SpanRecord>,
}

impl Outcome {
    /// Returns the spans of one trace, ordered by start time.
    pub fn spans_of(&self, trace_id: &str) -> impl Iterator<Item = &SpanRecord> {
        self.hops
            .iter()
            .filter(move |span| span.trace_id == trace_id)
    }

    fn write_response(&self, response: &Response, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Response { step, status, .. } = response;
        writeln!(f, "{step}: POST {} answered {status}", step.path())?;
        for line in response.body.lines().filter(|line| !line.is_empty()) {
            writeln!(f, "    {line}")?;
        }
        self.write_trace(&response.trace_id, f)
    }

    /// Writes one line per span: its name, the offset of its start from that of the first span, and its duration.
    fn write_trace(&self, trace_id: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  trace {trace_id}")?;
        let first = self.spans_of(trace_id).next();
        let begin_unix_ns = first.map_or(0, |span| span.begin_unix_ns);
        for span in self.spans_of(trace_id) {
            let after_ms = ms(span.begin_unix_ns - begin_unix_ns);
            let duration_ms = ms(span.duration_ns);
            writeln!(
                f,
                "    {:<8} at {after_ms:>6.2} ms took {duration_ms:>6.2} ms",
                span.name
            )?;
        }
        writeln!(f)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the figure is printed with two decimals"
)]
fn ms(duration_ns: u64) -> f64 {
    duration_ns as f64 / NS_PER_MS
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.records.trim_end())?;
        for response in &self.answers {
            self.write_response(response, f)?;
        }
        writeln!(f, "batch job {}", self.job.status)?;
        let first = self.job.results.lines().next().unwrap_or_default();
        writeln!(f, "    {first}")?;
        writeln!(f, "  {} items were answered\n", self.job.answered())?;
        write!(f, "drained the entry node, then the target nodes")
    }
}
