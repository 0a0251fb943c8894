//! A logger that writes JSON lines to standard output from its own thread.
//!
//! Logging never blocks a request: a line is dropped and counted if the reader of standard output does not keep up, or
//! if there are more than [`MAX_LINES_PER_S`] lines in a second.

use std::{
    io::Write as _,
    sync::{
        Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error as KeyError, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Capacity of the queue to the writer thread: about two seconds of lines at the maximum rate.
const MAX_QUEUED_LINES: usize = 1_024;
/// Rate limit: six lines for each request of a node at its usual peak.
const MAX_LINES_PER_S: u32 = 400;
/// Size up to which the writer thread combines queued lines into one write.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// A logger that queues JSON lines for a writer thread.
pub(crate) struct JsonLines {
    level: LevelFilter,
    lines: SyncSender<String>,
    rate_limiter: Mutex<RateLimiter>,
}

struct RateLimiter {
    window_started: Instant,
    lines: u32,
    dropped: u64,
}

impl JsonLines {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start(level: LevelFilter) -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver))?;
        let rate_limiter = RateLimiter {
            window_started: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Ok(Self {
            level,
            lines,
            rate_limiter: Mutex::new(rate_limiter),
        })
    }
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_ours = !["hyper", "reqwest", "rustls", "quinn", "salvo"]
            .iter()
            .any(|it| metadata.target().starts_with(it));
        metadata.level() <= self.level && (is_ours || metadata.level() <= log::Level::Warn)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut rate_limiter = self
            .rate_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !rate_limiter.try_acquire(Instant::now()) {
            return;
        }
        let line = to_line(record, std::mem::take(&mut rate_limiter.dropped));
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            rate_limiter.dropped += 1;
        }
    }

    fn flush(&self) {}
}

impl RateLimiter {
    fn try_acquire(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_started).as_secs() >= 1 {
            self.window_started = now;
            self.lines = 0;
        }
        self.lines += 1;
        let is_within = self.lines <= MAX_LINES_PER_S;
        self.dropped += u64::from(!is_within);
        is_within
    }
}

fn to_line(record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Map::new();
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    fields.insert("unix_ms".into(), unix_ms.into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("part".into(), record.target().into());
    fields.insert("message".into(), record.args().to_string().into());
    if dropped > 0 {
        fields.insert("lines_dropped_before".into(), dropped.into());
    }
    // `FieldVisitor::visit_pair` never fails.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    let mut line = Json::Object(fields).to_string();
    line.push('\n');
    line
}

struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KeyError> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (_, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut text) = lines.recv() {
        while text.len() < MAX_WRITE_BYTES
            && let Ok(line) = lines.try_recv()
        {
            text.push_str(&line);
        }
        if out
            .write_all(text.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}
