//! Streamed responses, forwarded to the caller event by event.
//!
//! The task of the caller's connection polls for the events. If the route allows it, a stream
//! that breaks off is resumed at another server after the last complete event.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempts::Attempts, exchange::Exchange, health::STALL_TIMEOUT, Body, Forwarder, Observation,
    ProxyRequest, Routed, Wire,
};
use crate::{
    relay::{EventBoundary, EventReader},
    routes::RouteKind,
    Category, Error, Instant, Result,
};

/// Time without an event after which a stream is moved away from a server that sends this
/// router no data for other requests either.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without an event after which a stream is moved away from a server even if the server
/// answers other requests.
///
/// Callers abandon a stream after two seconds or more without an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time between two stall checks of a server that stays silent.
///
/// It is shorter than the time for which a stalled server is avoided.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the response to the caller, whose body forwards the events of `exchange`.
pub(super) fn forward_stream<W: Wire>(
    cx: Arc<Forwarder<W>>,
    mut req: ProxyRequest<Routed>,
    mut exchange: Exchange,
    attempts: Attempts,
) -> Response<Body> {
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
    let response_stream = ResponseStream {
        last_event: req.head.last_event,
        last_received: cx.clock.now(),
        has_data: false,
        cx,
        req,
        exchange: Some(exchange),
        events: EventReader::new(),
        failure: None,
        boundary: EventBoundary::default(),
        attempts,
        status,
        resumable,
        started: false,
    };
    let frames = stream::unfold(response_stream, |mut response_stream| async move {
        let next = response_stream.next().await?;
        Some((next.map(Frame::data), response_stream))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A streamed response that is being forwarded to a caller.
struct ResponseStream<W> {
    cx: Arc<Forwarder<W>>,
    req: ProxyRequest<Routed>,
    /// Exchange whose response is read; `None` after the end of the stream.
    exchange: Option<Exchange>,
    /// Splits the response into events, if the stream can be resumed.
    events: EventReader,
    /// Failure found behind events that the caller has to get first.
    failure: Option<Error>,
    /// Where the response stands between events, if it cannot be resumed.
    boundary: EventBoundary,
    /// Number of the last event that was forwarded to the caller.
    last_event: Option<u64>,
    /// Time at which the server last sent data.
    last_received: Instant,
    /// Whether the current server has sent part of the body of its response.
    has_data: bool,
    attempts: Attempts,
    /// Status of the response that the caller gets.
    status: StatusCode,
    resumable: bool,
    /// Whether any data was forwarded to the caller.
    started: bool,
}

/// Result of one read from the server's response.
enum StreamRead {
    Bytes(Bytes),
    End,
    Broken(Error),
}

impl<W: Wire> ResponseStream<W> {
    /// Returns the next bytes for the caller, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            let read = match &mut self.exchange {
                Some(_) if self.failure.is_some() => StreamRead::Broken(self.failure.take()?),
                Some(_) => self.read().await,
                None => return None,
            };
            let error = match read {
                StreamRead::Bytes(bytes) if self.resumable => {
                    self.events.push(&bytes);
                    match self.take_new_events() {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => return Some(Ok(self.record_delivery(events))),
                        Err(err) => err,
                    }
                }
                StreamRead::Bytes(bytes) => {
                    self.boundary.push(&bytes);
                    return Some(Ok(self.record_delivery(bytes)));
                }
                StreamRead::End if self.is_complete() => {
                    self.finish();
                    return None;
                }
                StreamRead::End => Error::may_have_run(
                    Category::Cut,
                    "the response ended before its first event or inside an event",
                ),
                StreamRead::Broken(err) => err,
            };
            // Boxed so that the streams that are never resumed need no memory for the future.
            if let Err(err) = Box::pin(self.resume(error)).await {
                log::info!("stream broken off id={} error=\"{err}\"", self.req.id());
                self.cx.metrics.count_failure(&err);
                self.exchange = None;
                return Some(Err(err));
            }
        }
    }

    /// Returns whether a response that has ended is complete.
    ///
    /// One without length or chunks also ends when its server crashes, which leaves it inside an
    /// event or before the first one.
    fn is_complete(&self) -> bool {
        let is_framed = self.exchange.as_ref().is_some_and(|e| e.is_framed);
        let at_boundary = self.events.is_empty() && self.boundary.is_reached();
        at_boundary && (is_framed || self.has_data)
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
            self.cx
                .poison_requests
                .record_success(self.req.state.fingerprint);
            self.cx.release_connection(exchange, self.cx.clock.now());
        }
    }

    async fn read(&mut self) -> StreamRead {
        let Some(exchange) = &mut self.exchange else {
            return StreamRead::End;
        };
        let server = exchange.server.clone();
        let key = server.key();
        loop {
            let now = self.cx.clock.now();
            let time_left = self.req.time_left(now).unwrap_or(Duration::MAX);
            let silence = now.since(self.last_received);
            let timeouts: &[Duration] = if self.resumable {
                &[STALL_TIMEOUT, SILENT_SERVER_TIMEOUT, EVENT_TIMEOUT]
            } else {
                &[STALL_TIMEOUT]
            };
            let timeout = timeouts.iter().find(|timeout| silence < **timeout);
            let wait = timeout.map_or(STALL_CHECK_INTERVAL, |timeout| *timeout - silence);
            let frame = tokio::time::timeout(wait.min(time_left), exchange.body.frame()).await;
            let now = self.cx.clock.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.last_received = now;
                    if !bytes.is_empty() && !std::mem::replace(&mut self.has_data, true) {
                        self.cx.record_first_data(&self.req, now);
                    }
                    self.cx.poison_parts.record_alive(key, now);
                    self.cx.health.record(key, Observation::Progress, now);
                    return StreamRead::Bytes(bytes);
                }
                Ok(None) => return StreamRead::End,
                Ok(Some(Err(err))) => {
                    return StreamRead::Broken(Error::may_have_run(Category::Cut, err.to_string()));
                }
                Err(_)
                    if self
                        .req
                        .time_left(now)
                        .is_some_and(|time_left| time_left.is_zero()) =>
                {
                    let message = "the deadline of the stream has passed";
                    return StreamRead::Broken(Error::may_have_run(Category::Timeout, message));
                }
                Err(_) => {
                    let silence = now.since(self.last_received);
                    if silence >= STALL_TIMEOUT {
                        self.cx.record_stall(&server, now);
                    }
                    if !self.resumable {
                        continue;
                    }
                    let server_silence = self.cx.health.silent_for(key, now);
                    let is_server_silent = server_silence
                        .is_none_or(|server_silence| server_silence >= SILENT_SERVER_TIMEOUT);
                    if silence >= EVENT_TIMEOUT
                        || is_server_silent && silence >= SILENT_SERVER_TIMEOUT
                    {
                        let message = "the server sent no event in time";
                        return StreamRead::Broken(Error::may_have_run(Category::Timeout, message));
                    }
                }
            }
        }
    }

    /// Takes the complete events that the caller does not have yet.
    ///
    /// A failure behind such events is kept for the next call of [`next`](Self::next).
    fn take_new_events(&mut self) -> Result<Bytes> {
        let mut events = BytesMut::new();
        loop {
            match self.next_new_event() {
                Ok(Some(event)) => events.extend_from_slice(&event),
                Ok(None) => return Ok(events.freeze()),
                Err(err) if events.is_empty() => return Err(err),
                Err(err) => {
                    self.failure = Some(err);
                    return Ok(events.freeze());
                }
            }
        }
    }

    /// Takes the next complete event that the caller does not have yet.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] for an event that is too large, and for one without a number
    /// in a stream of numbered events.
    fn next_new_event(&mut self) -> Result<Option<Bytes>> {
        loop {
            let event = self.events.next_event();
            let event = event
                .map_err(|_| Error::may_have_run(Category::Backend, "an event is too large"))?;
            let Some(event) = event else {
                return Ok(None);
            };
            let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
            let is_comment = event.raw.starts_with(b":");
            if number.is_none() && self.last_event.is_some() && !is_comment {
                let message = "an event has no number";
                return Err(Error::may_have_run(Category::Backend, message));
            }
            if number.is_some() && number <= self.last_event {
                continue;
            }
            self.last_event = number.or(self.last_event);
            return Ok(Some(event.raw));
        }
    }

    /// Resumes the stream at another server, after the last event forwarded to the caller.
    ///
    /// # Errors
    ///
    /// Returns `error` when the stream may not be resumed or no server takes it, and
    /// [`Category::Quarantined`] when the request has crashed servers.
    async fn resume(&mut self, error: Error) -> Result<()> {
        // Dropping the exchange closes its connection, so that the server stops the request.
        if let Some(exchange) = self.exchange.take() {
            let now = self.cx.clock.now();
            self.cx
                .health
                .record(exchange.server.key(), Observation::Unreachable, now);
            if error.classify() == Category::Cut {
                self.cx
                    .record_crash(&self.req, &exchange.server, self.has_data, now);
            }
        }
        self.events = EventReader::new();
        if !self.resumable {
            return Err(error);
        }
        let cx = self.cx.clone();
        while self.attempts.sent_count < self.req.state.max_attempts {
            let now = cx.clock.now();
            if self
                .req
                .time_left(now)
                .is_some_and(|time_left| time_left.is_zero())
            {
                break;
            }
            if let Err(err) = cx.check_not_poison(&self.req.state, now) {
                return Err(err.with_verdict_at_least(error.verdict()));
            }
            let routed = &self.req.state;
            let tried = &self.attempts.tried;
            let prompt = routed.prompt.as_ref();
            let server = cx.choose(&routed.pool, routed.settings, prompt, tried, now);
            let Some(server) = server else {
                log::info!("stream not resumed id={} reason=no_server", self.req.id());
                break;
            };
            if !self.req.spend_retry(&cx, now) {
                log::info!(
                    "stream not resumed id={} reason=retry_budget",
                    self.req.id()
                );
                break;
            }
            self.req
                .record_placement(&cx, &server, &mut self.attempts, now);
            log::info!(
                "stream resumed id={} server={} after={:?} cause=\"{error}\"",
                self.req.id(),
                server.name,
                self.last_event
            );
            let exchange = self
                .req
                .fetch_response_head(&cx, &server, &mut self.attempts, self.last_event)
                .await;
            match exchange {
                Ok(exchange) if exchange.ensure_ran().is_ok() && exchange.status == self.status => {
                    self.attempts.sent_count += 1;
                    self.last_received = cx.clock.now();
                    self.has_data = false;
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Ok(_) => self.attempts.sent_count += 1,
                Err(failure) => self.attempts.sent_count += u32::from(failure.sent),
            }
        }
        Err(error)
    }
}
