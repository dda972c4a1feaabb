//! TCP streams that detect a peer that is gone without closing the connection.
//!
//! The kernel's own limit on unacknowledged data (`TCP_USER_TIMEOUT`) also ends a connection whose
//! peer acknowledges but has no room in its receive buffer. Here only missing acknowledgements count,
//! once the kernel has told that data is unacknowledged; where it tells nothing, its limit stays.
//!
//! The kernel goes on sending after the close of a connection, and its limit is then the only one.
//!
//! A response without length or chunks ends with its connection. The kernel reports such an end as soon
//! as it arrives, also if the server has not received the request or resets the connection later.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use super::tcp_info::TcpInfo;

/// Time for which sent data may stay unacknowledged before the connection ends.
///
/// TCP sends lost data again after some 0.2, 0.6, 1.4 and 3 s.
const ACK_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time between two checks of a connection that has unacknowledged data.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of unanswered probes of a closed receive window after which a peer may be gone; a single
/// one may have been lost.
const MIN_LOST_PROBES: u8 = 2;

/// A TCP stream that fails once its peer is gone.
#[derive(Debug)]
pub(super) struct PeerStream {
    stream: TcpStream,
    peer: SocketAddr,
    /// Number of bytes that were written, if the end of the connection is checked.
    written_bytes: Option<u64>,
    /// Longest time for which the peer may leave no room for further data.
    write_timeout: Option<Duration>,
    /// Time since which there is no room for further data and the peer acknowledges none.
    blocked_since: Option<Instant>,
    /// Check of the data that was sent; `None` while all of it is acknowledged.
    check: Option<AckCheck>,
    /// Whether the limit of the kernel is in force.
    has_kernel_limit: bool,
}

#[derive(Debug)]
struct AckCheck {
    /// Time from which on data is unacknowledged.
    since: Instant,
    /// Number of bytes that were acknowledged at the last check.
    acknowledged_bytes: u64,
    next: Pin<Box<Sleep>>,
}

impl PeerStream {
    /// Creates a stream over a connection to `peer`.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        let mut stream = PeerStream {
            stream,
            peer,
            written_bytes: None,
            write_timeout: None,
            blocked_since: None,
            check: None,
            has_kernel_limit: false,
        };
        stream.set_kernel_limit(Some(ACK_TIMEOUT));
        stream
    }

    /// Sets or removes the limit of the kernel on the time for which data is unacknowledged.
    fn set_kernel_limit(&mut self, limit: Option<Duration>) {
        match self.socket().set_tcp_user_timeout(limit) {
            Ok(()) => self.has_kernel_limit = limit.is_some(),
            Err(err) => log::debug!("cannot limit connection peer={} error=\"{err}\"", self.peer),
        }
    }

    /// Fails as well when the peer leaves no room for further data for `timeout`; what is left at the
    /// close has that long as well.
    #[must_use]
    pub(super) fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = Some(timeout);
        self
    }

    /// Fails as well at an end of the connection that the peer sends before it has received all that
    /// was written, or resets afterwards.
    #[must_use]
    pub(super) fn with_end_check(mut self) -> Self {
        self.written_bytes = Some(0);
        self
    }

    /// Returns the socket.
    pub(super) fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.stream)
    }

    /// Checks an end of the connection after `written_bytes`.
    ///
    /// # Errors
    ///
    /// Fails when the connection was reset, or not all bytes were acknowledged. Succeeds where the
    /// kernel does not report its state.
    fn check_end(&self, written_bytes: u64) -> io::Result<()> {
        let Ok(info) = TcpInfo::of(&self.stream) else {
            return Ok(());
        };
        // The opening of the connection counts as one acknowledged byte.
        let is_unreported = info.acknowledged_bytes == 0;
        let is_received = info.acknowledged_bytes >= written_bytes;
        if !info.is_reset && (is_unreported || is_received) {
            return Ok(());
        }
        log::info!(
            "server ended early to={} reset={} written_bytes={written_bytes} acknowledged_bytes={}",
            self.peer,
            info.is_reset,
            info.acknowledged_bytes
        );
        let message = "the server ended the connection before it had read the request";
        Err(io::Error::new(io::ErrorKind::ConnectionReset, message))
    }

    /// Returns the number of bytes for which the peer has left no room, 0 where the kernel does not
    /// report it.
    pub(super) fn unsent_bytes(&self) -> u32 {
        if self.check.is_none() {
            return 0;
        }
        TcpInfo::of(&self.stream).map_or(0, |info| info.unsent_bytes)
    }

    /// Fails if the peer is gone; otherwise the task of `cx` is woken for the next check.
    fn poll_peer(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(check) = &mut self.check {
            if check.next.as_mut().poll(cx).is_pending() {
                return Ok(());
            }
            let now = Instant::now();
            let info = match TcpInfo::of(&self.stream) {
                Ok(info) if !info.is_all_acknowledged() => info,
                Ok(_) => {
                    self.check = None;
                    return Ok(());
                }
                Err(err) => {
                    log::debug!("cannot check peer peer={} error=\"{err}\"", self.peer);
                    self.check = None;
                    return Ok(());
                }
            };
            let waiting = now.duration_since(check.since);
            check.next.as_mut().reset(now + CHECK_INTERVAL);
            let acknowledged =
                std::mem::replace(&mut check.acknowledged_bytes, info.acknowledged_bytes);
            if acknowledged != info.acknowledged_bytes {
                // The socket becomes writable only when a good part of its buffer is free.
                self.blocked_since = self.blocked_since.map(|_| now);
            }
            if self.has_kernel_limit {
                self.set_kernel_limit(None);
            }
            if waiting >= ACK_TIMEOUT && is_gone(&info) {
                return Err(self.lost("no_acknowledgement", waiting));
            }
            let blocked = self.blocked_since.map(|since| now.duration_since(since));
            let blocked = blocked.filter(|blocked| {
                self.write_timeout
                    .is_some_and(|write_timeout| *blocked >= write_timeout)
            });
            if let Some(blocked) = blocked {
                return Err(self.lost("nothing_read", blocked));
            }
        }
        Ok(())
    }

    fn lost(&self, reason: &str, after: Duration) -> io::Error {
        let after_ms = after.as_millis();
        log::info!(
            "peer lost peer={} reason={reason} after_ms={after_ms}",
            self.peer
        );
        io::Error::new(io::ErrorKind::TimedOut, format!("peer lost: {reason}"))
    }

    /// Records the outcome of a write, and checks later whether its data was acknowledged.
    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let now = Instant::now();
        match written {
            Poll::Pending => {
                self.blocked_since.get_or_insert(now);
            }
            Poll::Ready(_) => self.blocked_since = None,
        }
        if let (Some(bytes), Poll::Ready(Ok(len))) = (&mut self.written_bytes, &written) {
            *bytes += *len as u64;
        }
        self.check.get_or_insert_with(|| AckCheck {
            since: now,
            acknowledged_bytes: 0,
            next: Box::pin(tokio::time::sleep_until(now + CHECK_INTERVAL)),
        });
        self.poll_peer(cx)?;
        written
    }
}

impl Drop for PeerStream {
    fn drop(&mut self) {
        // Bounds how long a peer that is gone holds memory of the kernel.
        if let Some(write_timeout) = self.write_timeout {
            self.set_kernel_limit(Some(write_timeout));
        }
    }
}

/// Returns whether the peer answers neither the data that was sent nor the probes of its window.
fn is_gone(info: &TcpInfo) -> bool {
    let is_unanswered = info.retransmits > 0 || info.probes >= MIN_LOST_PROBES;
    is_unanswered && info.since_last_ack >= ACK_TIMEOUT
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_peer(cx)?;
        let unfilled = buf.remaining();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_read = matches!(read, Poll::Ready(Ok(())));
        let is_end = is_read && unfilled > 0 && buf.remaining() == unfilled;
        match self.written_bytes {
            Some(written_bytes) if is_end => Poll::Ready(self.check_end(written_bytes)),
            _ => read,
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_peer(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
