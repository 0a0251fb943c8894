//! Finds out whether the process of a target has ended.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{io::AsyncReadExt as _, net::TcpStream, time::timeout};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection stays open at a process that does not end: one that ends closes its listener, and with it the
/// connections that it has not accepted, a little later than the others.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);
/// The number of connections that are tried.
const MAX_CONNECTIONS: u32 = 3;

/// Returns whether the process at `address` accepts no connections any more.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECTIONS {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
            Ok(Ok(mut stream)) => {
                let closed = timeout(MIN_OPEN_TIME, stream.read_u8()).await;
                if closed.is_err() {
                    return false;
                }
            }
            Ok(Err(_)) | Err(_) => return false,
        }
    }
    false
}
