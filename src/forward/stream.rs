//! Streamed responses, forwarded to the caller event by event.
//!
//! The task of the caller's connection polls for the events. If the route allows it, a stream
//! that breaks off or pauses is resumed at another server after the last complete event.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempts::Attempts, event_buffer::EventBuffer, exchange::Exchange, health::STALL_TIMEOUT, Body,
    Deadline, Forwarder, ProxyRequest, Routed, Wire,
};
use crate::{
    catalog::Server, relay::EventBoundary, routes::RouteKind, Category, Error, Instant, Result,
};

/// Time without an event after which another server is asked to go on with a stream whose server
/// sends this router no data for other requests either.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without an event after which another server is asked to go on with a stream even if its
/// server answers other requests.
///
/// Callers abandon a stream after two seconds or more without an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time between two checks of a server that stays silent; at each one another server may be asked
/// to go on with the stream.
///
/// It is shorter than the time for which a stalled server is avoided.
pub(super) const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the response to the caller, whose body forwards the events of `exchange`.
///
/// The head is held back until the first data, so that a stream that breaks off before gets an
/// error response.
///
/// # Errors
///
/// Fails when the stream has broken off without data and no other server has gone on with it.
pub(super) async fn forward_stream<W: Wire>(
    cx: Arc<Forwarder<W>>,
    mut req: ProxyRequest<Routed>,
    mut exchange: Exchange,
    attempts: Attempts,
) -> Result<Response<Body>> {
    let status = exchange.status;
    let headers = cx
        .wire
        .response_headers(std::mem::take(&mut exchange.headers));
    let resumable = req.state.kind == RouteKind::Stream { resumable: true };
    if !resumable {
        // The request is never sent again, so its body and headers can be freed.
        req.template.body = Bytes::new();
        req.template.headers = HeaderMap::new();
    }
    let deadline = req.state.rank.deadline;
    let mut response_stream = ResponseStream {
        last_event: req.head.last_event,
        last_progress: cx.clock.now(),
        checked_at: cx.clock.now(),
        is_known_good: false,
        events: EventBuffer::new(&cx.memory),
        cx,
        req: Arc::new(req),
        exchange: Some(exchange),
        ready: BytesMut::new(),
        pending: None,
        boundary: EventBoundary::default(),
        attempts,
        status,
        resumable,
        started: false,
    };
    let first = response_stream.next().await.transpose()?;
    let first = stream::iter(first.map(|bytes| Ok(Frame::data(bytes))));
    let rest = stream::unfold(response_stream, |mut response_stream| async move {
        let next = response_stream.next().await?;
        if let Err(err) = &next {
            response_stream.record_failure(err);
            // The connection first writes what it has, which the error would discard.
            tokio::task::yield_now().await;
        }
        Some((next.map(Frame::data), response_stream))
    });
    let mut response = Response::new(StreamBody::new(first.chain(rest)).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if let Some(deadline) = deadline {
        response.extensions_mut().insert(Deadline(deadline));
    }
    Ok(response)
}

/// A streamed response that is being forwarded to a caller.
pub(super) struct ResponseStream<W> {
    pub(super) cx: Arc<Forwarder<W>>,
    pub(super) req: Arc<ProxyRequest<Routed>>,
    /// Exchange whose response is read; `None` after the end of the stream.
    pub(super) exchange: Option<Exchange>,
    /// Splits the response into events, if the stream can be resumed.
    pub(super) events: EventBuffer,
    /// Complete events that were not forwarded yet, if the stream can be resumed.
    pub(super) ready: BytesMut,
    /// Read to handle before the next one.
    pub(super) pending: Option<StreamRead>,
    /// Where the response stands between events, if it cannot be resumed.
    boundary: EventBoundary,
    /// Number of the last event that was forwarded to the caller.
    pub(super) last_event: Option<u64>,
    /// Time at which the server last sent an event, or data if the stream cannot be resumed.
    pub(super) last_progress: Instant,
    /// Time at which it was last checked whether the server is silent.
    checked_at: Instant,
    /// Whether the request was recorded as one on which its current server does not crash.
    pub(super) is_known_good: bool,
    pub(super) attempts: Attempts,
    /// Status of the response that the caller gets.
    pub(super) status: StatusCode,
    pub(super) resumable: bool,
    /// Whether any data was forwarded to the caller.
    started: bool,
}

/// Result of one read from the server's response.
pub(super) enum StreamRead {
    Bytes(Bytes),
    /// The response has ended and is complete.
    End,
    /// The server sent nothing for so long that another one may be asked.
    Silent,
    Broken(Error),
}

impl<W: Wire> ResponseStream<W> {
    /// Returns the next bytes for the caller, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            if !self.ready.is_empty() {
                let events = self.ready.split().freeze();
                return Some(Ok(self.record_delivery(events)));
            }
            let read = match self.pending.take() {
                Some(read) => read,
                None if self.exchange.is_some() => self.read().await,
                None => return None,
            };
            let error = match read {
                StreamRead::Bytes(bytes) if self.resumable => match self.take_new_events(&bytes) {
                    Ok(_) => continue,
                    Err(err) => {
                        self.drop_exchange(&err);
                        err
                    }
                },
                StreamRead::Bytes(bytes) => {
                    self.boundary.push(&bytes);
                    return Some(Ok(self.record_delivery(bytes)));
                }
                StreamRead::End => {
                    self.finish();
                    return None;
                }
                StreamRead::Silent => {
                    Error::may_have_run(Category::Timeout, "the server sent no event in time")
                }
                StreamRead::Broken(err) => {
                    self.drop_exchange(&err);
                    err
                }
            };
            // Boxed so that the streams that are never resumed need no memory for the future.
            if let Err(err) = Box::pin(self.resume(error)).await {
                self.exchange = None;
                return Some(Err(err));
            }
        }
    }

    /// Records that the stream has broken off after data was forwarded to the caller.
    fn record_failure(&self, err: &Error) {
        log::info!("stream broken off id={} error=\"{err}\"", self.req.id());
        self.cx.metrics.count_failure(err);
    }

    /// Returns whether a response that has ended is complete.
    ///
    /// One without length or chunks also ends when its server crashes, which leaves it inside an
    /// event or before the first one.
    fn is_complete(&self) -> bool {
        let may_end = |exchange: &Exchange| exchange.is_framed || exchange.body.has_data();
        let at_boundary = self.events.is_empty() && self.boundary.is_reached();
        at_boundary && self.exchange.as_ref().is_some_and(may_end)
    }

    fn record_delivery(&mut self, bytes: Bytes) -> Bytes {
        // A server that sends data has ended its prefill, whether it started or resumed the stream.
        self.attempts.prefill = None;
        if !std::mem::replace(&mut self.started, true) {
            let now = self.cx.clock.now();
            self.cx.metrics.observe_answer(now.since(self.req.arrived));
        }
        bytes
    }

    fn finish(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            let now = self.cx.clock.now();
            let requests = &self.cx.poison.requests;
            requests.record_success(self.req.state.fingerprint, now);
            self.record_known_good(now);
            self.cx.release_connection(exchange, now);
        }
    }

    /// Returns whether another server may be asked in place of `server`, which has sent no event for
    /// `silence`.
    pub(super) fn is_silent(&self, server: &Server, silence: Duration, now: Instant) -> bool {
        let server_silence = self.cx.health.silent_for(server.key(), now);
        let is_server_silent =
            server_silence.is_none_or(|server_silence| server_silence >= SILENT_SERVER_TIMEOUT);
        silence >= EVENT_TIMEOUT || is_server_silent && silence >= SILENT_SERVER_TIMEOUT
    }

    /// Reads the next part of the response, unless the deadline has passed or another server may
    /// be asked.
    ///
    /// Both are checked before each read, as a server may send data without end and no event.
    async fn read(&mut self) -> StreamRead {
        loop {
            let Some(exchange) = &mut self.exchange else {
                return StreamRead::End;
            };
            let now = self.cx.clock.now();
            let time_left = self.req.time_left(now).unwrap_or(Duration::MAX);
            if time_left.is_zero() {
                let message = "the deadline of the stream has passed";
                return StreamRead::Broken(Error::may_have_run(Category::Timeout, message));
            }
            let timeouts: &[Duration] = if self.resumable {
                &[STALL_TIMEOUT, SILENT_SERVER_TIMEOUT, EVENT_TIMEOUT]
            } else {
                &[STALL_TIMEOUT]
            };
            let checked_at = self.checked_at.max(self.last_progress);
            let silence = checked_at.since(self.last_progress);
            let next_check = checked_at + time_to_check(silence, timeouts);
            if next_check <= now {
                self.checked_at = now;
                let server = exchange.server.clone();
                if self.is_stalled(&server, now) {
                    return StreamRead::Silent;
                }
                continue;
            }
            let wait = next_check.since(now).min(time_left);
            let frame = tokio::time::timeout(wait, exchange.body.frame()).await;
            let read = frame.ok().and_then(|frame| self.receive(frame));
            if let Some(read) = read {
                return read;
            }
        }
    }

    /// Records a stall of `server`, if it has sent no event for long enough, and returns whether
    /// another server may be asked.
    fn is_stalled(&self, server: &Server, now: Instant) -> bool {
        let silence = now.since(self.last_progress);
        if silence >= STALL_TIMEOUT {
            self.cx.record_stall(server, now);
        }
        self.may_resume() && self.is_silent(server, silence, now)
    }

    /// Records a frame of the response, or its end.
    ///
    /// Returns `None` for a frame without data.
    pub(super) fn receive(
        &mut self,
        frame: Option<std::result::Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<StreamRead> {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(err)) => {
                let err = Error::may_have_run(Category::Cut, err.to_string());
                return Some(StreamRead::Broken(err));
            }
            None if self.is_complete() => return Some(StreamRead::End),
            None => {
                let message = "the response ended before its first event or inside an event";
                let err = Error::may_have_run(Category::Cut, message);
                return Some(StreamRead::Broken(err));
            }
        };
        let bytes = frame.into_data().ok()?;
        let now = self.cx.clock.now();
        if !self.resumable {
            self.last_progress = now;
        }
        let exchange = self.exchange.as_ref()?;
        self.cx.record_data(exchange, now);
        if exchange.body.is_established() {
            self.record_known_good(now);
        }
        Some(StreamRead::Bytes(bytes))
    }

    /// Records, once for each server, that it does not crash on the parts of the request's prompt.
    fn record_known_good(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.is_known_good, true) {
            self.cx.record_known_good(&self.req, now);
        }
    }

    /// Takes the complete events that the caller does not have yet from those received and `bytes`.
    ///
    /// Returns whether there is one that is no comment. A failure behind such an event is kept for
    /// the next call of [`next`](Self::next).
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] for an event that does not fit into the stream, and
    /// [`Category::Overloaded`] when there is no memory for it.
    pub(super) fn take_new_events(&mut self, bytes: &[u8]) -> Result<bool> {
        self.events.push(bytes)?;
        let mut has_event = false;
        loop {
            match self.events.next_new_event(&mut self.last_event) {
                Ok(Some(event)) => {
                    has_event |= !event.is_comment;
                    self.ready.extend_from_slice(&event.raw);
                }
                Ok(None) => break,
                Err(err) if !has_event => return Err(err),
                Err(err) => {
                    self.pending = Some(StreamRead::Broken(err));
                    break;
                }
            }
        }
        if has_event {
            self.last_progress = self.cx.clock.now();
        }
        Ok(has_event)
    }
}

/// Returns the time to the next check of a server that has been silent for `silence`: at each of
/// `timeouts`, which ascend, and at intervals after the last one.
fn time_to_check(silence: Duration, timeouts: &[Duration]) -> Duration {
    let next = timeouts.iter().find(|timeout| silence < **timeout);
    next.map_or_else(
        || {
            let over = silence.saturating_sub(timeouts.last().copied().unwrap_or_default());
            let since_check = over.as_millis() % STALL_CHECK_INTERVAL.as_millis();
            STALL_CHECK_INTERVAL - Duration::from_millis(since_check as u64)
        },
        |timeout| *timeout - silence,
    )
}
