//! One QUIC connection to a target node.

use std::{net::SocketAddr, time::Duration};

use eel_types::{Incarnation, Name};
use eel_wire::{
    codec, connect,
    message::{EntryControl, Hello, PROTOCOL_VERSION, TargetControl, Welcome},
};
use error_stack::{Report, ResultExt as _};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio_util::sync::CancellationToken;

/// How long a link may take to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// An open link.
pub(crate) struct Session {
    pub(crate) connection: Connection,
    /// The target node's process at the other end.
    pub(crate) incarnation: Incarnation,
    /// Cancelled once the link makes no progress any more or has closed.
    pub(crate) lost: CancellationToken,
}

/// A newly opened link with its control stream.
pub(crate) struct OpenedSession {
    pub(crate) session: Session,
    pub(crate) send: SendStream,
    pub(crate) recv: RecvStream,
    pub(crate) welcome: Welcome,
}

/// Opens a link, which fences all earlier ones of this process to the same target node.
///
/// # Errors
///
/// If the target node cannot be reached, is not of this fleet or speaks another version.
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
        lost: CancellationToken::new(),
    };
    Ok(OpenedSession {
        session,
        send,
        recv,
        welcome,
    })
}

/// Returns the message that opens a link.
pub(crate) fn hello(vm: &Name, incarnation: Incarnation, generation: u64) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        vm: vm.clone(),
        incarnation,
        generation,
        supersedes: true,
    }
}
