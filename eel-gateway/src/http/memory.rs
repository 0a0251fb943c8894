//! Holds memory of the budget for bodies and unread responses, and releases it when they are dropped.

use std::{
    net::{IpAddr, Ipv6Addr},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context as TaskContext, Poll, ready},
};

use bytes::Bytes;
use eel_types::Clock;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use slotmap::SecondaryMap;
use tokio_util::sync::CancellationToken;

use super::{
    Body, TruncatedResponse,
    budget::{Budget, HoldKey, HoldKind, Short},
    log_limit::LogLimit,
};
use crate::metrics::Metrics;

/// Parts of responses below this size are not counted, in bytes: the HTTP library holds a bounded number of them for each
/// connection.
const MIN_COUNTED_BYTES: usize = 8 * 1024;

/// The node's memory for bodies and unread responses.
pub struct Memory {
    state: Mutex<State>,
    clock: Clock,
    metrics: Arc<Metrics>,
    short_log: LogLimit,
}

struct State {
    budget: Budget,
    /// What is cancelled when a holder is evicted.
    evictions: SecondaryMap<HoldKey, CancellationToken>,
}

/// Memory of one holder, released when this is dropped.
pub struct Held {
    memory: Arc<Memory>,
    key: HoldKey,
}

impl Memory {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: usize, clock: Clock, metrics: Arc<Metrics>) -> Arc<Self> {
        let state = State {
            budget: Budget::new(total_bytes),
            evictions: SecondaryMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            clock,
            metrics,
            short_log: LogLimit::default(),
        })
    }

    /// Adds a holder; `evicted` is cancelled when its memory is needed for others.
    pub fn open(
        self: &Arc<Self>,
        address: IpAddr,
        kind: HoldKind,
        evicted: CancellationToken,
    ) -> Held {
        let mut state = self.state();
        let key = state
            .budget
            .open(caller_group(address), kind, self.clock.now_ms());
        state.evictions.insert(key, evicted);
        Held {
            memory: self.clone(),
            key,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn on_used(&self, state: &State) {
        let used = i64::try_from(state.budget.used_bytes()).unwrap_or(i64::MAX);
        self.metrics.held_bytes.set(used);
    }
}

impl Held {
    /// Reserves `bytes` in place of what is reserved; evicts slow holders if necessary.
    ///
    /// # Errors
    ///
    /// [`Short`] if there is no room or this holder has been evicted.
    pub fn grow(&self, bytes: usize) -> Result<(), Short> {
        let memory = &self.memory;
        let now_ms = memory.clock.now_ms();
        let mut state = memory.state();
        let grown = state.budget.grow(self.key, bytes, now_ms);
        for victim in grown.iter().flatten() {
            memory.metrics.evicted_holds.inc();
            if let Some(token) = state.evictions.remove(*victim) {
                token.cancel();
            }
        }
        memory.on_used(&state);
        let used_bytes = state.budget.used_bytes();
        drop(state);
        let evicted = grown.as_ref().map_or(0, Vec::len);
        if (grown.is_err() || evicted > 0)
            && let Some(suppressed) = memory.short_log.take(now_ms)
        {
            log::warn!(
                target: "http", used_bytes, wanted_bytes = bytes, evicted, is_refused = grown.is_err(), suppressed;
                "The memory for bodies and unread responses is short."
            );
        }
        grown.map(|_| ())
    }

    /// Records that `bytes` more bytes have arrived.
    pub fn on_progress(&self, bytes: usize) {
        let now_ms = self.memory.clock.now_ms();
        self.memory
            .state()
            .budget
            .on_progress(self.key, bytes, now_ms);
    }

    /// Records that a body has arrived completely, and holds `bytes`.
    pub fn complete(&self, bytes: usize) {
        self.memory.state().budget.complete(self.key, bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.close(self.key);
        state.evictions.remove(self.key);
        self.memory.on_used(&state);
    }
}

/// Bytes that hold memory of the budget until the last reference to them is dropped.
struct HeldBytes<T> {
    bytes: T,
    _held: Held,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns `bytes` that release `held` when the last reference to them is dropped.
pub fn hold<T: AsRef<[u8]> + Send + 'static>(bytes: T, held: Held) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}

/// The body of a response whose large parts hold memory of the budget until they are sent.
pub struct HeldResponse<G> {
    body: Body,
    memory: Arc<Memory>,
    address: IpAddr,
    evicted: CancellationToken,
    _guard: G,
}

impl<G> HeldResponse<G> {
    /// Creates the body of a response to the caller at `address`. `evicted` is cancelled when the memory of the response is
    /// needed for others, and `guard` is dropped with the body.
    pub fn new(
        body: Body,
        memory: Arc<Memory>,
        address: IpAddr,
        evicted: CancellationToken,
        guard: G,
    ) -> Self {
        Self {
            body,
            memory,
            address,
            evicted,
            _guard: guard,
        }
    }
}

impl<G: Unpin> HttpBody for HeldResponse<G> {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            ended => return Poll::Ready(ended),
        };
        let bytes = match frame.into_data() {
            Ok(bytes) if bytes.len() >= MIN_COUNTED_BYTES => bytes,
            Ok(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Err(frame) => return Poll::Ready(Some(Ok(frame))),
        };
        let held = self
            .memory
            .open(self.address, HoldKind::Response, self.evicted.clone());
        Poll::Ready(Some(match held.grow(bytes.len()) {
            Ok(()) => Ok(Frame::data(hold(bytes, held))),
            Err(Short) => Err(TruncatedResponse),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns the address that a caller's memory is counted for: one network of IPv6 addresses is one caller.
fn caller_group(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => {
            let network = address.to_bits() >> 64 << 64;
            IpAddr::V6(Ipv6Addr::from_bits(network))
        }
        address @ IpAddr::V4(_) => address,
    }
}
