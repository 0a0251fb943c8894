//! Accepts links from entry nodes and serves their control and request streams.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use eel_admit::{LinkClock, LinkHello, LinkKey};
use eel_wire::{
    close_drained, codec,
    message::{
        EntryControl, Hello, PROTOCOL_VERSION, Ping, Pong, Settlement, StreamRequest,
        TargetControl, Welcome,
    },
};
use error_stack::{Report, ResultExt as _};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio_util::sync::CancellationToken;

use crate::{node::Context, serve};

/// An open link from an entry node.
pub(crate) struct Link {
    pub(crate) key: LinkKey,
    pub(crate) context: Arc<Context>,
    clock: Mutex<LinkClock>,
    /// The number of requests that were started and whose replies the entry node has not received in whole.
    unreceived: AtomicU64,
}

/// A request of a link, counted as unreceived from its start until its reply has been received.
pub(crate) struct UnreceivedReply<'a> {
    link: &'a Link,
    is_started: bool,
}

impl<'a> UnreceivedReply<'a> {
    pub(crate) fn new(link: &'a Link) -> Self {
        Self {
            link,
            is_started: false,
        }
    }

    /// The request starts.
    pub(crate) fn start(&mut self) {
        self.is_started = true;
        self.link.unreceived.fetch_add(1, Ordering::Relaxed);
    }

    /// The entry node has received the whole reply, or waits for no more of it.
    pub(crate) fn end(self) {
        if self.is_started {
            self.link.unreceived.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Link {
    /// Returns the deadline, on this process's monotonic clock, of a request sent over this link.
    pub(crate) fn deadline_ms(&self, sent_ms: u64, time_left_ms: u64) -> u64 {
        let now_ms = self.context.clock.now_ms();
        self.lock_clock().deadline_ms(now_ms, sent_ms, time_left_ms)
    }

    /// Updates the estimate of the clock offset from the send time of a ping.
    fn observe(&self, sent_ms: u64) {
        let now_ms = self.context.clock.now_ms();
        self.lock_clock().observe(now_ms, sent_ms);
    }

    /// Closes `connection` once the node has drained.
    async fn close_when_drained(&self, connection: &Connection) {
        self.context.drained.cancelled().await;
        if self.unreceived.load(Ordering::Relaxed) == 0 {
            close_drained(connection);
        }
    }

    fn lock_clock(&self) -> std::sync::MutexGuard<'_, LinkClock> {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.context.admission.close_link(self.key);
        self.context.metrics.links.dec();
    }
}

/// Accepts links until `stop` is cancelled.
pub(crate) async fn accept(endpoint: &Endpoint, context: &Arc<Context>, stop: &CancellationToken) {
    loop {
        let incoming = tokio::select! {
            incoming = endpoint.accept() => incoming,
            () = stop.cancelled() => return,
        };
        let Some(incoming) = incoming else {
            return;
        };
        let context = context.clone();
        let tracker = context.links.clone();
        tracker.spawn(async move {
            let accepted = tokio::select! {
                accepted = incoming.into_future() => accepted,
                () = context.drained.cancelled() => return,
            };
            match accepted {
                Ok(connection) => run(connection, context).await,
                Err(error) => log::warn!(target: "link", "Cannot accept a link: {error}."),
            }
        });
    }
}

async fn run(connection: Connection, context: Arc<Context>) {
    let peer = connection.remote_address();
    match serve_link(&connection, context).await {
        Ok(()) => log::info!(target: "link", "The link from {peer} has closed."),
        Err(error) => log::warn!(target: "link", "The link from {peer} has failed: {error}."),
    }
    connection.close(0u32.into(), b"");
}

async fn serve_link(
    connection: &Connection,
    context: Arc<Context>,
) -> Result<(), Report<eel_wire::Error>> {
    let (mut send, mut recv, hello) = tokio::select! {
        opened = accept_hello(connection) => opened?,
        () = context.drained.cancelled() => return Ok(()),
    };
    log::info!(target: "link", "Entry node {} has opened link {}.", hello.vm, hello.generation);
    let key = context.admission.open_link(LinkHello {
        entry: hello.vm,
        incarnation: hello.incarnation,
        generation: hello.generation,
        supersedes: hello.supersedes,
    });
    context.metrics.links.inc();
    let link = Arc::new(Link {
        key,
        context,
        clock: Mutex::default(),
        unreceived: AtomicU64::new(0),
    });
    codec::write(&mut send, &TargetControl::Welcome(welcome(&link))).await?;
    tokio::select! {
        ended = control(&link, &mut send, &mut recv) => ended,
        () = accept_requests(connection, &link) => Ok(()),
        () = link.close_when_drained(connection) => Ok(()),
    }
}

async fn accept_hello(
    connection: &Connection,
) -> Result<(SendStream, RecvStream, Hello), Report<eel_wire::Error>> {
    let (send, mut recv) = connection
        .accept_bi()
        .await
        .change_context(eel_wire::Error::Closed)?;
    match codec::read(&mut recv).await? {
        Some(EntryControl::Hello(hello)) if hello.protocol_version == PROTOCOL_VERSION => {
            Ok((send, recv, hello))
        }
        _ => Err(Report::new(eel_wire::Error::Malformed)),
    }
}

fn welcome(link: &Link) -> Welcome {
    let context = &link.context;
    Welcome {
        vm: context.vm.clone(),
        incarnation: context.incarnation,
        pool: context.pool.clone(),
        load: context.admission.report(link.key),
        revision: context.config.revision(),
    }
}

async fn control(
    link: &Link,
    send: &mut SendStream,
    recv: &mut RecvStream,
) -> Result<(), Report<eel_wire::Error>> {
    let mut leaving_sent = false;
    loop {
        let message = {
            let read = codec::read::<EntryControl>(recv);
            tokio::pin!(read);
            loop {
                tokio::select! {
                    message = &mut read => break message?,
                    () = link.context.draining.cancelled(), if !leaving_sent => {
                        leaving_sent = true;
                        codec::write(send, &TargetControl::Leaving).await?;
                    }
                }
            }
        };
        match message {
            None => return Ok(()),
            Some(EntryControl::Ping(ping)) => {
                codec::write(send, &TargetControl::Pong(pong(link, ping))).await?;
            }
            Some(EntryControl::Configure(configuration)) => {
                if let Some(limits) = link.context.config.offer(&configuration) {
                    link.context.admission.configure(limits);
                }
                let revision = i64::try_from(link.context.config.revision().0);
                link.context.metrics.revision.set(revision.unwrap_or(0));
            }
            Some(EntryControl::Hello(_)) => return Err(Report::new(eel_wire::Error::Malformed)),
        }
    }
}

fn pong(link: &Link, ping: Ping) -> Pong {
    let context = &link.context;
    link.observe(ping.sent_ms);
    if ping.wants_credits {
        context.admission.request_credits(link.key);
    }
    Pong {
        sequence: ping.sequence,
        load: context.admission.report(link.key),
        revision: context.config.revision(),
        leaving: context.draining.is_cancelled(),
    }
}

async fn accept_requests(connection: &Connection, link: &Arc<Link>) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let link = link.clone();
        let tracker = link.context.requests.clone();
        tracker.spawn(async move {
            if let Err(error) = request(&link, send, recv).await {
                log::debug!(target: "link", "A request stream has failed: {error}.");
            }
        });
    }
}

async fn request(
    link: &Arc<Link>,
    mut send: SendStream,
    mut recv: RecvStream,
) -> Result<(), Report<eel_wire::Error>> {
    let stream_request = codec::read::<StreamRequest>(&mut recv).await?;
    codec::consume_fin(&mut recv);
    match stream_request {
        Some(StreamRequest::Serve(request)) => {
            return serve::serve(link, *request, &mut send).await;
        }
        Some(StreamRequest::Settle(key)) => {
            link.context.metrics.settlements.inc();
            let settlement = into_message(link.context.admission.settle(key));
            codec::write(&mut send, &settlement).await?;
        }
        Some(StreamRequest::FetchConfiguration) => {
            codec::write(&mut send, &link.context.config.to_message()).await?;
        }
        None => return Ok(()),
    }
    let _ = send.finish();
    // The task ends only once the entry node has received the complete reply, so that a shutdown cannot truncate it.
    let _ = send.stopped().await;
    Ok(())
}

fn into_message(settlement: eel_admit::Settlement) -> Settlement {
    match settlement {
        eel_admit::Settlement::NeverStarted => Settlement::NeverStarted,
        eel_admit::Settlement::Started { finished } => Settlement::Started { finished },
        eel_admit::Settlement::Unknown => Settlement::Unknown,
    }
}
