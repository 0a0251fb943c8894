//! Trace spans that are propagated between nodes as W3C trace contexts.
//!
//! Header format: W3C Trace Context, <https://www.w3.org/TR/trace-context/>.

use std::{
    collections::HashMap,
    fs::{File, OpenOptions},
    io::{BufWriter, Write},
    path::Path,
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt as _};
use opentelemetry::{
    Context, KeyValue,
    global::{self, BoxedSpan},
    propagation::TextMapPropagator as _,
    trace::{
        Span as _, SpanContext, SpanId, TraceContextExt as _, TraceFlags, TraceId, TraceState,
        Tracer as _,
    },
};
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    propagation::TraceContextPropagator,
    trace::{SdkTracerProvider, SpanData, SpanExporter},
};
use serde::Serialize;

use crate::Error;

/// The name of the HTTP header that carries a trace context.
pub const TRACEPARENT: &str = "traceparent";

const TRACER: &str = "eelgrassgap";

static PROVIDER: OnceLock<SdkTracerProvider> = OnceLock::new();

/// A span of a trace; dropping it ends the span.
pub struct Span(Mutex<BoxedSpan>);

impl Span {
    /// Sets an attribute of the span if the span is recorded; otherwise `property` is not called.
    pub fn set_attribute(&self, property: impl FnOnce() -> (&'static str, String)) {
        let mut span = self.lock();
        if span.is_recording() {
            let (key, value) = property();
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    fn context(&self) -> SpanContext {
        self.lock().span_context().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BoxedSpan> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Installs an exporter that appends each finished span to the file at `path`, as one JSON object per line.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be opened.
pub fn install_file(path: &Path) -> Result<(), Report<Error>> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .change_context(Error::File)?;
    let exporter = FileExporter {
        file: Mutex::new(BufWriter::new(file)),
    };
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter)
        .build();
    global::set_tracer_provider(provider.clone());
    if PROVIDER.set(provider).is_err() {
        log::warn!(target: "trace", "A span exporter was already installed; the new one replaces it.");
    }
    Ok(())
}

/// Flushes all finished spans to the file; call it before the process ends.
pub fn flush() {
    let Some(provider) = PROVIDER.get() else {
        return;
    };
    if let Err(error) = provider.force_flush() {
        log::warn!(target: "trace", "Cannot flush spans: {error}.");
    }
}

/// Parses the trace context of a `traceparent` header. If it is missing or invalid, creates the context of a new trace,
/// which is recorded if `sampled`.
#[must_use]
pub fn parent_context(traceparent: Option<&str>, sampled: bool) -> SpanContext {
    traceparent
        .and_then(parse_traceparent)
        .unwrap_or_else(|| new_root_context(sampled))
}

/// Starts a span whose parent is a remote context.
#[must_use]
pub fn start_span(name: &'static str, parent: SpanContext) -> Span {
    let parent = Context::new().with_remote_span_context(parent);
    Span(Mutex::new(
        global::tracer(TRACER).start_with_context(name, &parent),
    ))
}

/// Starts a child span of `parent`.
#[must_use]
pub fn start_child_span(name: &'static str, parent: &Span) -> Span {
    start_span(name, parent.context())
}

/// Returns the value of the `traceparent` header to send downstream; `None` if the span is not recorded.
#[must_use]
pub fn traceparent(span: &Span) -> Option<String> {
    let context = span.context();
    let flags = context.trace_flags().to_u8();
    context.is_sampled().then(|| {
        format!(
            "00-{}-{}-{flags:02x}",
            context.trace_id(),
            context.span_id()
        )
    })
}

fn parse_traceparent(traceparent: &str) -> Option<SpanContext> {
    let headers = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
    let context = parent.span().span_context().clone();
    context.is_valid().then_some(context)
}

fn new_root_context(sampled: bool) -> SpanContext {
    let flags = TraceFlags::default().with_sampled(sampled);
    let trace_id = TraceId::from(rand::random::<u128>());
    let span_id = SpanId::from(rand::random::<u64>());
    SpanContext::new(trace_id, span_id, flags, true, TraceState::default())
}

#[derive(Debug)]
struct FileExporter {
    file: Mutex<BufWriter<File>>,
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        write_all(&mut file, &batch).map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}

fn write_all(file: &mut BufWriter<File>, spans: &[SpanData]) -> std::io::Result<()> {
    for span in spans {
        serde_json::to_writer(&mut *file, &SpanLine::from(span))?;
        file.write_all(b"\n")?;
    }
    file.flush()
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
    value: String,
}

impl<'a> From<&'a SpanData> for SpanLine<'a> {
    fn from(span: &'a SpanData) -> Self {
        let begin_unix_ns = unix_ns(span.start_time);
        Self {
            trace_id: span.span_context.trace_id().to_string(),
            span_id: span.span_context.span_id().to_string(),
            parent_id: span.parent_span_id.to_string(),
            name: &span.name,
            begin_unix_ns,
            duration_ns: unix_ns(span.end_time).saturating_sub(begin_unix_ns),
            properties: span.attributes.iter().map(to_property).collect(),
        }
    }
}

fn to_property(attribute: &KeyValue) -> Property<'_> {
    Property {
        key: attribute.key.as_str(),
        value: attribute.value.to_string(),
    }
}

/// Converts to nanoseconds since the Unix epoch; 0 for an earlier time.
fn unix_ns(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}
