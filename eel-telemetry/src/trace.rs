//! Trace spans: one for each hop, joined by W3C trace contexts.
//!
//! Source of the header format: W3C Trace Context, <https://www.w3.org/TR/trace-context/>.

use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write},
    path::Path,
};

use error_stack::{Report, ResultExt as _};
use fastrace::{
    Span,
    collector::{Config, Reporter, SpanContext, SpanRecord},
};
use serde::Serialize;

use crate::Error;

/// The header that carries a trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Installs a reporter that appends each finished span to the file at `path`, as one JSON object a line.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be opened.
pub fn install_file(path: &Path) -> Result<(), Report<Error>> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .change_context(Error::File)?;
    let reporter = FileReporter {
        file: BufWriter::new(file),
    };
    fastrace::set_reporter(reporter, Config::default());
    Ok(())
}

/// Hands every finished span to the reporter; called before the process ends.
pub fn flush() {
    fastrace::flush();
}

/// Takes the trace context of a `traceparent` header, or starts a trace that is recorded if `sampled`.
#[must_use]
pub fn context(traceparent: Option<&str>, sampled: bool) -> SpanContext {
    traceparent
        .and_then(SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(|| SpanContext::random().sampled(sampled))
}

/// Starts the span of one hop.
pub fn hop(name: &'static str, parent: SpanContext) -> Span {
    Span::root(name, parent)
}

/// Returns the `traceparent` header for the next hop after `span`, if the span is recorded.
#[must_use]
pub fn traceparent(span: &Span) -> Option<String> {
    SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
}

struct FileReporter {
    file: BufWriter<File>,
}

impl Reporter for FileReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            if let Err(error) = self.write(&span) {
                log::warn!(target: "trace", "A span cannot be written: {error}.");
                return;
            }
        }
        if let Err(error) = self.file.flush() {
            log::warn!(target: "trace", "Spans cannot be written: {error}.");
        }
    }
}

impl FileReporter {
    fn write(&mut self, span: &SpanRecord) -> std::io::Result<()> {
        serde_json::to_writer(&mut self.file, &SpanLine::from(span))?;
        self.file.write_all(b"\n")
    }
}

#[derive(Serialize)]
struct SpanLine<'a> {
    trace_id: String,
    span_id: String,
    parent_id: String,
    name: &'a str,
    begin_unix_ns: u64,
    duration_ns: u64,
    properties: Vec<Property<'a>>,
}

#[derive(Serialize)]
struct Property<'a> {
    key: &'a str,
    value: &'a str,
}

impl<'a> From<&'a SpanRecord> for SpanLine<'a> {
    fn from(span: &'a SpanRecord) -> Self {
        let properties = span
            .properties
            .iter()
            .map(|(key, value)| Property { key, value })
            .collect();
        Self {
            trace_id: format!("{:032x}", span.trace_id.0),
            span_id: format!("{:016x}", span.span_id.0),
            parent_id: format!("{:016x}", span.parent_id.0),
            name: &span.name,
            begin_unix_ns: span.begin_time_unix_ns,
            duration_ns: span.duration_ns,
            properties,
        }
    }
}
