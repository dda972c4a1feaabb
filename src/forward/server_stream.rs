//! Streams to backend servers, which tell a proper end of the connection from others.
//!
//! A response without length or chunks ends with its connection. The kernel reports such an end as soon
//! as it has arrived, also if the server has not taken the request or resets the connection later.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::peer_stream::PeerStream;

/// A stream to a server that fails at an end before the server has all that was sent.
#[derive(Debug)]
pub(super) struct ServerStream {
    stream: PeerStream,
    address: SocketAddr,
    /// Number of bytes that were written.
    written_bytes: u64,
}

impl ServerStream {
    /// Creates a stream over a connection to the server at `address`.
    pub(super) fn new(stream: TcpStream, address: SocketAddr) -> Self {
        ServerStream {
            stream: PeerStream::new(stream, address),
            address,
            written_bytes: 0,
        }
    }

    /// Checks an end of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection was reset as well, or the server has not received all that was
    /// written. Where the kernel does not tell, each end is a proper one.
    fn check_end(&self) -> io::Result<()> {
        let Ok(info) = self.stream.tcp_info() else {
            return Ok(());
        };
        // The opening of the connection counts as one acknowledged byte.
        let tells_nothing = info.acknowledged_bytes == 0;
        let has_request = info.acknowledged_bytes >= self.written_bytes;
        if !info.is_reset && (tells_nothing || has_request) {
            return Ok(());
        }
        log::info!(
            "server ended early to={} reset={} written_bytes={} acknowledged_bytes={}",
            self.address,
            info.is_reset,
            self.written_bytes,
            info.acknowledged_bytes
        );
        let message = "the server ended the connection before it had read the request";
        Err(io::Error::new(io::ErrorKind::ConnectionReset, message))
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(len)) = written {
            self.written_bytes += *len as u64;
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unfilled = buf.remaining();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_end = matches!(read, Poll::Ready(Ok(()))) && unfilled > 0;
        if is_end && buf.remaining() == unfilled {
            return Poll::Ready(self.check_end());
        }
        read
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
