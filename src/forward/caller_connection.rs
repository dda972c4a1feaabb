//! Tells which connections of callers this router closes, and what it had read from them by then.

use std::{
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{peer_stream::PeerStream, Activity};
use crate::{memory::Holding, sync::lock, Clock, Instant};

/// Longest time for which a caller may leave no room for more of its response, also after the close
/// of its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of bytes that are read at a time; read buffers grow when more arrives at once.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Largest number of unread bytes that is counted for a log line.
const MAX_COUNTED_BYTES: usize = 1024;

/// Why this router closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// No request came within the idle limit.
    Idle,
    /// The router shuts down.
    Closing,
    /// Its place or memory is needed for others.
    GivenUp,
    /// The response was not read by the caller until its deadline.
    Overdue,
}

impl CloseReason {
    fn as_str(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Closing => "closing",
            CloseReason::GivenUp => "given_up",
            CloseReason::Overdue => "overdue",
        }
    }
}

#[derive(Debug)]
struct State {
    activity: Activity,
    requests: u32,
    /// Bytes read since the end of the last exchange: part of the head of the next request.
    partial_bytes: usize,
    /// Time at which the response in progress is given up.
    overdue_at: Option<Instant>,
    /// Set when this router starts to close the connection.
    close: Option<Close>,
    has_ended: bool,
    /// Whether the connection is kept open for a moment after its last response.
    is_lingering: bool,
}

#[derive(Debug, Clone, Copy)]
struct Close {
    reason: CloseReason,
    idle: Duration,
    was_open: bool,
    partial_bytes: usize,
}

/// What happened on one connection of a caller.
#[derive(Debug, Clone)]
pub(super) struct ConnectionRecord(Arc<Mutex<State>>);

impl ConnectionRecord {
    /// Creates the record of a connection that was accepted at `now`.
    pub(super) fn new(idle_limit: Duration, now: Instant) -> Self {
        ConnectionRecord(Arc::new(Mutex::new(State {
            activity: Activity::new(idle_limit, now),
            requests: 0,
            partial_bytes: 0,
            overdue_at: None,
            close: None,
            has_ended: false,
            is_lingering: false,
        })))
    }

    /// Records that a request was read.
    pub(super) fn begin_exchange(&self) {
        let mut state = lock(&self.0);
        state.activity.begin_exchange();
        state.requests += 1;
        state.partial_bytes = 0;
    }

    /// Records that the whole response to a request was passed on to be written while `idle_limit`
    /// was in force, or that it was given up.
    pub(super) fn end_exchange(&self, idle_limit: Duration, now: Instant) {
        let mut state = lock(&self.0);
        state.overdue_at = None;
        state.activity.end_exchange(idle_limit, now);
    }

    /// Sets the time at which the response in progress is given up.
    pub(super) fn set_overdue_at(&self, overdue_at: Instant) {
        lock(&self.0).overdue_at = Some(overdue_at);
    }

    /// Returns the time at which the response in progress is given up, if it has a deadline.
    pub(super) fn overdue_at(&self) -> Option<Instant> {
        lock(&self.0).overdue_at
    }

    /// Returns the time from which the connection may be closed while `idle_limit` is in force,
    /// `None` during an exchange.
    pub(super) fn close_at(&self, idle_limit: Duration) -> Option<Instant> {
        lock(&self.0).activity.close_at(idle_limit)
    }

    /// Returns whether an exchange is in progress.
    pub(super) fn is_exchange(&self) -> bool {
        lock(&self.0).activity.is_exchange()
    }

    /// Closes the connection as soon as no request is in progress.
    pub(super) fn begin_closing(&self) {
        lock(&self.0).activity.begin_closing();
    }

    /// Records that the connection is about to be closed.
    pub(super) fn expire(&self) {
        lock(&self.0).activity.expire();
    }

    /// Returns whether part of a request has arrived.
    pub(super) fn is_receiving(&self) -> bool {
        lock(&self.0).activity.is_receiving()
    }

    /// Records that this router starts to close the connection at `now`.
    pub(super) fn record_close(&self, reason: CloseReason, now: Instant) {
        let mut state = lock(&self.0);
        state.close = Some(Close {
            reason,
            idle: state.activity.idle_time(now),
            was_open: state.activity.is_exchange(),
            partial_bytes: state.partial_bytes,
        });
    }

    /// Keeps the connection open for a moment after its last response, whose caller may still be
    /// sending, so that the response is not discarded.
    pub(super) fn begin_lingering(&self) {
        lock(&self.0).is_lingering = true;
    }

    /// Returns whether the connection is kept open for a moment after its last response.
    pub(super) fn is_lingering(&self) -> bool {
        lock(&self.0).is_lingering
    }

    /// Returns whether this router has started to close the connection.
    pub(super) fn is_closed(&self) -> bool {
        lock(&self.0).close.is_some()
    }

    /// Records that the connection has ended, other than with the process.
    pub(super) fn record_end(&self) {
        lock(&self.0).has_ended = true;
    }
}

/// The stream of a caller's connection; logs the end of the connection if this router closed it.
pub(super) struct CallerStream {
    stream: PeerStream,
    peer: SocketAddr,
    record: ConnectionRecord,
    /// Memory that the connection holds, if it is limited.
    holding: Option<Holding>,
    clock: Clock,
}

impl CallerStream {
    /// Creates the stream of a connection from `peer`, which records in `record` when bytes arrive.
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        record: ConnectionRecord,
        holding: Option<Holding>,
        clock: Clock,
    ) -> Self {
        CallerStream {
            stream: PeerStream::new(stream, peer).with_write_timeout(WRITE_TIMEOUT),
            peer,
            record,
            holding,
            clock,
        }
    }

    /// Records the outcome of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(len)) if *len > 0) {
            lock(&self.record.0).activity.record_write(self.clock.now());
        }
    }

    /// Returns the number of bytes that have arrived and were not read, up to a limit.
    fn unread_bytes(&self) -> usize {
        let mut bytes = [MaybeUninit::uninit(); MAX_COUNTED_BYTES];
        // An error means that there are none.
        self.stream.socket().peek(&mut bytes).unwrap_or(0)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let unread = self.unread_bytes();
        let unsent = self.stream.unsent_bytes();
        let state = lock(&self.record.0);
        let close = state.close;
        let is_open = state.activity.is_exchange();
        let reason = match close {
            Some(close) => close.reason.as_str(),
            None if !state.has_ended && (is_open || state.partial_bytes > 0) => "process_end",
            None if unread > 0 || unsent > 0 => "ended",
            None => return,
        };
        let partial = close.map_or(state.partial_bytes, |close| close.partial_bytes);
        let was_open = close.map_or(is_open, |close| close.was_open);
        let is_lossy = is_open || partial > 0 || unread > 0;
        let level = if is_lossy {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "caller connection closed peer={} reason={reason} idle_ms={} requests={} \
             in_progress={was_open} unfinished={is_open} partial_bytes={partial} unread_bytes={unread} \
             unsent_bytes={unsent}",
            self.peer,
            close.map_or(0, |close| close.idle.as_millis()),
            state.requests
        );
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = buf.take(MAX_READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let len = part.filled().len();
        // SAFETY: `part` is the start of the unfilled part of `buf`, of which `len` bytes are filled.
        unsafe { buf.assume_init(len) };
        buf.advance(len);
        let mut state = lock(&self.record.0);
        if !state.activity.is_exchange() && len > 0 {
            state.partial_bytes += len;
            if let Some(holding) = &self.holding {
                holding.receive(state.partial_bytes, self.clock.now());
            }
        }
        // The socket may have bytes of which the runtime has no event yet.
        if len > 0 || state.activity.is_expired() && self.unread_bytes() > 0 {
            state.activity.record_data(self.clock.now());
        }
        drop(state);
        read
    }
}

impl AsyncWrite for CallerStream {
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
