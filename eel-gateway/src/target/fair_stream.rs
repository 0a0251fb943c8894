//! A connection that lets the other tasks of the node run while its peer sends more than is read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How much is read until other tasks run. The HTTP library may parse all that it can read within one poll, such as an endless
/// series of interim responses.
const MAX_BYTES_AT_ONCE: usize = 64 * 1024;

/// A connection whose reader pauses for the other tasks after each [`MAX_BYTES_AT_ONCE`].
pub struct FairStream {
    stream: TcpStream,
    /// The number of bytes that were read since the last pause.
    read_bytes: usize,
}

impl FairStream {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_bytes: 0,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_bytes >= MAX_BYTES_AT_ONCE {
            self.read_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.read_bytes += buffer.filled().len() - filled;
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
