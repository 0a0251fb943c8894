//! Opens a QUIC connection to a target node and performs the handshake on its control stream.

use std::{net::SocketAddr, time::Duration};

use eel_types::{Incarnation, Name};
use eel_wire::{
    codec, connect,
    message::{EntryControl, Hello, PROTOCOL_VERSION, TargetControl, Welcome},
};
use error_stack::{Report, ResultExt as _};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// The timeout for opening a connection, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection of a link.
pub(crate) struct Session {
    pub(crate) connection: Connection,
    /// The incarnation of the target node's process.
    pub(crate) incarnation: Incarnation,
    /// Cancelled once no message has been received for the silence timeout, or the connection is lost. It gets no new
    /// attempts then.
    pub(crate) silent: CancellationToken,
    /// Cancelled once either side has closed the connection, or it stays silent while a later one works.
    pub(crate) lost: CancellationToken,
    /// Tracks the attempts on the connection.
    pub(crate) attempts: TaskTracker,
}

impl Session {
    /// Ends the attempts that still run on the connection.
    pub(crate) fn lose(&self) {
        self.silent.cancel();
        self.lost.cancel();
    }
}

/// A new connection with its control stream and the target node's welcome.
pub(crate) struct OpenedSession {
    pub(crate) session: Session,
    pub(crate) send: SendStream,
    pub(crate) recv: RecvStream,
    pub(crate) welcome: Welcome,
}

/// Opens a connection. If `hello` supersedes the earlier ones of this process to the same target node, these are fenced:
/// requests that arrived over them and have not started must not start any more.
///
/// # Errors
///
/// [`eel_wire::Error`] if the target node cannot be reached within [`OPEN_TIMEOUT`], does not belong to this fleet
/// or uses another protocol version.
pub(crate) async fn open(
    endpoint: &Endpoint,
    address: SocketAddr,
    hello: Hello,
) -> Result<OpenedSession, Report<eel_wire::Error>> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, try_open(endpoint, address, hello));
    opened
        .await
        .unwrap_or_else(|_| Err(Report::new(eel_wire::Error::Connect)))
}

async fn try_open(
    endpoint: &Endpoint,
    address: SocketAddr,
    hello: Hello,
) -> Result<OpenedSession, Report<eel_wire::Error>> {
    let connection = connect(endpoint, address).await?;
    let (mut send, mut recv) = connection
        .open_bi()
        .await
        .change_context(eel_wire::Error::Closed)?;
    codec::write(&mut send, &EntryControl::Hello(hello)).await?;
    let Some(TargetControl::Welcome(welcome)) = codec::read(&mut recv).await? else {
        return Err(Report::new(eel_wire::Error::Malformed));
    };
    let session = Session {
        connection,
        incarnation: welcome.incarnation,
        silent: CancellationToken::new(),
        lost: CancellationToken::new(),
        attempts: TaskTracker::new(),
    };
    Ok(OpenedSession {
        session,
        send,
        recv,
        welcome,
    })
}

/// Returns the first message of a connection.
pub(crate) fn hello_message(
    vm: &Name,
    incarnation: Incarnation,
    generation: u64,
    supersedes: bool,
) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        vm: vm.clone(),
        incarnation,
        generation,
        supersedes,
    }
}
