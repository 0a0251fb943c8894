//! A watch that reconnects after disconnects, outages and idle timeouts.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use eel_types::Revision;
use error_stack::Report;
use futures_util::Stream;
use tokio::{sync::mpsc, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use super::{
    call::HttpTransport,
    message::{self, EventType, StreamMessage, WatchResponse},
    request, response,
};
use crate::{StoreError, StoreResult, WatchEvent, WatchOptions};

const BUFFERED_EVENTS: usize = 1024;
/// The size of a message from which a watch counts as broken.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
const INITIAL_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1000;

/// The event stream of a watch; a background task reads the connection.
#[derive(Debug)]
pub struct WatchStream {
    events: mpsc::Receiver<WatchEvent>,
    _task: AbortOnDropHandle<()>,
}

impl WatchStream {
    pub(super) fn start(
        transport: Arc<HttpTransport>,
        options: WatchOptions,
        idle_timeout_ms: u64,
    ) -> Self {
        let (sender, events) = mpsc::channel(BUFFERED_EVENTS);
        let watcher = Watcher {
            transport,
            delivered: options.from_revision.map(|r| r.0.saturating_sub(1)),
            options,
            idle_timeout: Duration::from_millis(idle_timeout_ms),
            events: sender,
        };
        let task = tokio::spawn(watcher.run());
        Self {
            events,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

impl Stream for WatchStream {
    type Item = WatchEvent;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<WatchEvent>> {
        self.events.poll_recv(cx)
    }
}

/// Reasons why a watch stops.
enum WatchEnd {
    Compacted(u64),
    ReaderGone,
}

struct Watcher {
    transport: Arc<HttpTransport>,
    options: WatchOptions,
    /// The last revision that was delivered completely; `None` until the first response if no start revision was set.
    delivered: Option<u64>,
    idle_timeout: Duration,
    events: mpsc::Sender<WatchEvent>,
}

impl Watcher {
    async fn run(mut self) {
        match self.follow().await {
            Err(WatchEnd::Compacted(compact_revision)) => {
                let compact_revision = Revision(compact_revision);
                let _ = self
                    .events
                    .send(WatchEvent::Compacted { compact_revision })
                    .await;
            }
            Err(WatchEnd::ReaderGone) => {}
            Ok(never) => match never {},
        }
    }

    /// Reads one connection after the other. An idle connection is kept until its replacement has responded.
    async fn follow(&mut self) -> Result<std::convert::Infallible, WatchEnd> {
        let mut lines: Option<LineReader> = None;
        let mut failures = 0;
        let mut backoff = Backoff::default();
        loop {
            match self.open(failures).await {
                Ok(opened) => {
                    failures = 0;
                    lines = Some(opened);
                }
                Err(error) => {
                    let prefix = &self.options.prefix;
                    log::warn!(target: "store", "Cannot open the watch of {prefix}: {error}.");
                    failures += 1;
                    backoff.pause().await;
                }
            }
            let Some(current) = &mut lines else { continue };
            let before = self.delivered;
            let end = self.read(current).await?;
            if self.delivered != before {
                backoff = Backoff::default();
            }
            match end {
                ReadEnd::Idle => {}
                // The same changes would be too long each time. The keys are read again by pages.
                ReadEnd::TooLong if let Some(delivered) = self.delivered => {
                    return Err(WatchEnd::Compacted(delivered));
                }
                ReadEnd::Disconnected | ReadEnd::TooLong => {
                    lines = None;
                    backoff.pause().await;
                }
            }
        }
    }

    /// Opens a connection and waits for the first response on it.
    async fn open(&self, attempt: usize) -> StoreResult<LineReader> {
        let start_revision = self.delivered.map_or(0, |delivered| delivered + 1);
        let message = request::watch(&self.options, start_revision);
        let opening = async {
            let response = self.transport.open("/v3/watch", &message, attempt).await?;
            let mut lines = LineReader::new(response);
            lines.fill().await?;
            Ok(lines)
        };
        match timeout(self.idle_timeout, opening).await {
            Ok(opened) => opened,
            Err(_) => Err(Report::new(StoreError::Unavailable)),
        }
    }

    /// Delivers the events of a connection until it disconnects or is idle for too long.
    async fn read(&mut self, lines: &mut LineReader) -> Result<ReadEnd, WatchEnd> {
        loop {
            while let Some(line) = lines.next_line() {
                let Ok(StreamMessage {
                    result: Some(response),
                }) = serde_json::from_slice(&line)
                else {
                    return Ok(ReadEnd::Disconnected);
                };
                if self.deliver(response).await? == Delivery::Canceled {
                    return Ok(ReadEnd::Disconnected);
                }
            }
            if lines.is_too_long() {
                log::warn!(target: "store", max_bytes = MAX_MESSAGE_BYTES; "A watch ends: a message is too long.");
                return Ok(ReadEnd::TooLong);
            }
            match timeout(self.idle_timeout, lines.fill()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Ok(ReadEnd::Disconnected),
                Err(_) => return Ok(ReadEnd::Idle),
            }
        }
    }

    async fn deliver(&mut self, response: WatchResponse) -> Result<Delivery, WatchEnd> {
        if response.compact_revision > 0 {
            return Err(WatchEnd::Compacted(response.compact_revision));
        }
        if response.canceled {
            return Ok(Delivery::Canceled);
        }
        if response.created && self.delivered.is_none() {
            self.delivered = Some(response.header.revision);
        }
        let delivered = self.delivered.unwrap_or(0);
        let mut complete = delivered;
        for event in &response.events {
            if event.kv.mod_revision <= delivered {
                continue; // already delivered from an earlier connection
            }
            let Ok(event) = change(event) else {
                log::warn!(
                    "store: The watch of {} skipped an event with a malformed key or value.",
                    self.options.prefix
                );
                continue;
            };
            complete = complete.max(revision_of(&event));
            self.send(event).await?;
        }
        if response.events.is_empty() && !response.created {
            complete = complete.max(response.header.revision);
        }
        if complete > delivered {
            self.delivered = Some(complete);
            let revision = Revision(complete);
            let progress = WatchEvent::Progress {
                revision,
                asked_at: None,
            };
            self.send(progress).await?;
        }
        Ok(Delivery::Delivered)
    }

    async fn send(&self, event: WatchEvent) -> Result<(), WatchEnd> {
        self.events
            .send(event)
            .await
            .map_err(|_| WatchEnd::ReaderGone)
    }
}

/// Reasons why reading from a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    Disconnected,
    Idle,
    TooLong,
}

/// Exponential backoff between reconnects.
struct Backoff {
    pause_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            pause_ms: INITIAL_BACKOFF_MS,
        }
    }
}

impl Backoff {
    /// Waits for half of the pause plus a random part of the rest, so that nodes do not all reconnect at once.
    async fn pause(&mut self) {
        let pause_ms = rand::random_range(self.pause_ms / 2..=self.pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_BACKOFF_MS);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Delivered,
    Canceled,
}

fn change(event: &message::Event) -> Result<WatchEvent, response::Malformed> {
    Ok(match event.r#type {
        EventType::Put => WatchEvent::Put(response::pair(&event.kv)?),
        EventType::Delete => WatchEvent::Delete {
            key: response::key(&event.kv)?,
            mod_revision: Revision(event.kv.mod_revision),
        },
    })
}

fn revision_of(event: &WatchEvent) -> u64 {
    match event {
        WatchEvent::Put(pair) => pair.mod_revision.0,
        WatchEvent::Delete { mod_revision, .. } => mod_revision.0,
        WatchEvent::Progress { revision, .. } => revision.0,
        WatchEvent::Compacted { compact_revision } => compact_revision.0,
    }
}

/// Splits a streamed response body into lines.
struct LineReader {
    response: reqwest::Response,
    buffer: BytesMut,
    /// How many bytes of the buffer are known to end no line.
    scanned: usize,
}

impl LineReader {
    fn new(response: reqwest::Response) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Returns whether the buffer holds the start of a message that the service may never complete.
    fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_MESSAGE_BYTES
    }

    /// Waits for the next chunk of the body and appends it to the buffer.
    async fn fill(&mut self) -> StoreResult<()> {
        match self.response.chunk().await {
            Ok(Some(chunk)) => {
                self.buffer.extend_from_slice(&chunk);
                Ok(())
            }
            Ok(None) | Err(_) => Err(Report::new(StoreError::Unavailable)),
        }
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let rest = &self.buffer[self.scanned..];
        let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.buffer.len();
            return None;
        };
        let end = std::mem::take(&mut self.scanned) + end;
        Some(self.buffer.split_to(end + 1).freeze())
    }
}
