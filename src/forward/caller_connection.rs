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

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::Body;
use crate::{sync::lock, Error};

/// Largest number of unread bytes that a log line tells.
const MAX_COUNTED_BYTES: usize = 1024;

/// Why this router closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// No request came within the idle limit.
    Idle,
    /// The router shuts down.
    Closing,
}

impl CloseReason {
    fn as_str(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Closing => "closing",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    requests: u32,
    /// Exchanges whose response has not been handed over in full: at most one.
    open: u32,
    /// Bytes read since the end of the last exchange: part of the head of the next request.
    partial_bytes: usize,
    /// Set when this router starts to close the connection.
    close: Option<Close>,
    has_ended: bool,
}

#[derive(Debug, Clone, Copy)]
struct Close {
    reason: CloseReason,
    idle: Duration,
    was_open: bool,
    partial_bytes: usize,
}

/// What happened on one connection of a caller.
#[derive(Debug, Clone, Default)]
pub(super) struct ConnectionRecord(Arc<Mutex<State>>);

impl ConnectionRecord {
    /// Records the start of an exchange, which lasts until the guard is dropped.
    pub(super) fn begin_exchange(&self) -> ExchangeGuard {
        let mut state = lock(&self.0);
        state.requests += 1;
        state.open += 1;
        state.partial_bytes = 0;
        ExchangeGuard(self.clone())
    }

    /// Records that this router starts to close the connection, idle for `idle`.
    pub(super) fn record_close(&self, reason: CloseReason, idle: Duration) {
        let mut state = lock(&self.0);
        state.close = Some(Close {
            reason,
            idle,
            was_open: state.open > 0,
            partial_bytes: state.partial_bytes,
        });
    }

    /// Records that the connection has ended, other than with the process.
    pub(super) fn record_end(&self) {
        lock(&self.0).has_ended = true;
    }
}

/// An exchange on a caller's connection; it ends when the guard is dropped.
pub(super) struct ExchangeGuard(ConnectionRecord);

impl ExchangeGuard {
    /// Returns `response` with a body that keeps the guard.
    pub(super) fn guard(self, response: Response<Body>) -> Response<ExchangeBody> {
        response.map(|body| ExchangeBody { body, _guard: self })
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        lock(&self.0 .0).open -= 1;
    }
}

/// A body that keeps the guard of its exchange.
pub(super) struct ExchangeBody {
    body: Body,
    _guard: ExchangeGuard,
}

impl http_body::Body for ExchangeBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a caller's connection; logs the end of the connection if this router closed it.
pub(super) struct CallerStream {
    stream: TcpStream,
    peer: SocketAddr,
    record: ConnectionRecord,
}

impl CallerStream {
    /// Creates the stream of a connection from `peer`.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, record: ConnectionRecord) -> Self {
        CallerStream {
            stream,
            peer,
            record,
        }
    }

    /// Returns the number of bytes that have arrived and were not read, up to a limit.
    fn unread_bytes(&self) -> usize {
        let mut bytes = [MaybeUninit::uninit(); MAX_COUNTED_BYTES];
        // An error means that there are none.
        SockRef::from(&self.stream).peek(&mut bytes).unwrap_or(0)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let unread = self.unread_bytes();
        let state = lock(&self.record.0);
        let close = state.close;
        let reason = match close {
            Some(close) => close.reason.as_str(),
            None if !state.has_ended && state.open + state.partial_bytes as u32 > 0 => {
                "process_end"
            }
            None if unread > 0 => "ended",
            None => return,
        };
        let partial = close.map_or(state.partial_bytes, |close| close.partial_bytes);
        let was_open = close.map_or(state.open > 0, |close| close.was_open);
        let is_lossy = state.open > 0 || partial > 0 || unread > 0;
        let level = if is_lossy {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "caller connection closed peer={} reason={reason} idle_ms={} requests={} \
             in_progress={was_open} unfinished={} partial_bytes={partial} unread_bytes={unread}",
            self.peer,
            close.map_or(0, |close| close.idle.as_millis()),
            state.requests,
            state.open > 0
        );
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        if len > 0 {
            let mut state = lock(&self.record.0);
            if state.open == 0 {
                state.partial_bytes += len;
            }
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
