//! Streamed answers, passed on event by event.
//!
//! The task of the caller's connection pulls the events. Where a route allows it, an
//! answer that breaks off goes on at another server after the last whole event.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempts::Attempts, exchange::Exchange, health::STALL_AFTER, Body, Forwarder, Observation,
    ProxyRequest, Routed, Wire,
};
use crate::{relay::EventReader, routes::RouteKind, Category, Error, Instant, Result};

/// Time without an event after which a server that nothing else is heard of is given up.
const SILENT_PAUSE: Duration = Duration::from_millis(1_000);

/// Time without an event after which a server is given up whatever else it answers.
///
/// Callers leave a stream after two seconds or more without an event.
const LONG_PAUSE: Duration = Duration::from_millis(1_700);

/// Time between two looks at a server that stays silent; less than it is avoided for.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the answer whose body passes on the events of `exchange`.
pub(super) fn forward_stream<W: Wire>(
    cx: Arc<Forwarder<W>>,
    mut req: ProxyRequest<Routed>,
    mut exchange: Exchange,
    tries: Attempts,
) -> Response<Body> {
    let status = exchange.status;
    let headers = cx
        .wire
        .response_headers(std::mem::take(&mut exchange.headers));
    let resumable = req.state.kind == RouteKind::Stream { resumable: true };
    if !resumable {
        // It is not sent again.
        req.template.body = Bytes::new();
        req.template.headers = HeaderMap::new();
    }
    let passage = Passage {
        last_event: req.head.last_event,
        heard: cx.clock.now(),
        cx,
        req,
        exchange: Some(exchange),
        events: EventReader::new(),
        tries,
        resumable,
        begun: false,
    };
    let frames = stream::unfold(passage, |mut passage| async move {
        let next = passage.next().await?;
        Some((next.map(Frame::data), passage))
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A stream on its way to the caller.
struct Passage<W> {
    cx: Arc<Forwarder<W>>,
    req: ProxyRequest<Routed>,
    /// The answer that is read; none after its end.
    exchange: Option<Exchange>,
    events: EventReader,
    /// Number of the last event that the caller has.
    last_event: Option<u64>,
    /// When bytes last came.
    heard: Instant,
    tries: Attempts,
    resumable: bool,
    begun: bool,
}

/// What a read of the server's answer gave.
enum Read {
    Bytes(Bytes),
    End,
    Broken(Error),
}

impl<W: Wire> Passage<W> {
    /// Returns the next bytes for the caller, or none after the end.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            let read = match &mut self.exchange {
                Some(_) => self.read().await,
                None => return None,
            };
            let failed = match read {
                Read::Bytes(bytes) if self.resumable => {
                    self.events.push(&bytes);
                    match self.whole_events() {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => return Some(Ok(self.given(events))),
                        Err(err) => err,
                    }
                }
                Read::Bytes(bytes) => return Some(Ok(self.given(bytes))),
                Read::End if self.events.is_empty() => {
                    self.end();
                    return None;
                }
                Read::End => Error::may_have_run(Category::Cut, "the answer ends within an event"),
                Read::Broken(err) => err,
            };
            // Few streams are resumed; the others need not have room for it.
            if let Err(err) = Box::pin(self.resume(failed)).await {
                log::info!("stream broken off id={} error=\"{err}\"", self.req.id());
                self.cx.traffic.count_failure(&err);
                self.exchange = None;
                return Some(Err(err));
            }
        }
    }

    fn given(&mut self, bytes: Bytes) -> Bytes {
        // The prompt has been read, at the first server or at the one that goes on.
        self.tries.prefill = None;
        if !std::mem::replace(&mut self.begun, true) {
            let now = self.cx.clock.now();
            self.cx.traffic.observe_answer(now.since(self.req.arrived));
        }
        bytes
    }

    fn end(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            self.cx
                .poison_requests
                .record_success(self.req.state.fingerprint);
            self.cx.release_connection(exchange, self.cx.clock.now());
        }
    }

    async fn read(&mut self) -> Read {
        let Some(exchange) = &mut self.exchange else {
            return Read::End;
        };
        let server = exchange.server.clone();
        let key = server.key();
        loop {
            let now = self.cx.clock.now();
            let left = self.req.time_left(now).unwrap_or(Duration::MAX);
            let pause = now.since(self.heard);
            let looks: &[Duration] = if self.resumable {
                &[STALL_AFTER, SILENT_PAUSE, LONG_PAUSE]
            } else {
                &[STALL_AFTER]
            };
            let look = looks.iter().find(|look| pause < **look);
            let wait = look.map_or(STALL_CHECK_INTERVAL, |look| *look - pause);
            let frame = tokio::time::timeout(wait.min(left), exchange.body.frame()).await;
            let now = self.cx.clock.now();
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.heard = now;
                    self.cx.health.record(key, Observation::Progress, now);
                    return Read::Bytes(bytes);
                }
                Ok(None) => return Read::End,
                Ok(Some(Err(err))) => {
                    return Read::Broken(Error::may_have_run(Category::Cut, err.to_string()));
                }
                Err(_) if self.req.time_left(now).is_some_and(|left| left.is_zero()) => {
                    let message = "the time of the stream is over";
                    return Read::Broken(Error::may_have_run(Category::Timeout, message));
                }
                Err(_) => {
                    let pause = now.since(self.heard);
                    if pause >= STALL_AFTER {
                        self.cx.record_stall(&server, now);
                    }
                    if !self.resumable {
                        continue;
                    }
                    let silent = self.cx.health.silent_for(key, now);
                    let unheard = silent.is_none_or(|silent| silent >= SILENT_PAUSE);
                    if pause >= LONG_PAUSE || unheard && pause >= SILENT_PAUSE {
                        let message = "the server is silent";
                        return Read::Broken(Error::may_have_run(Category::Timeout, message));
                    }
                }
            }
        }
    }

    /// Takes the whole events that the caller does not have yet.
    fn whole_events(&mut self) -> Result<Bytes> {
        let mut out = BytesMut::new();
        loop {
            let event = self.events.next_event();
            let event = event
                .map_err(|_| Error::may_have_run(Category::Backend, "an event is too large"))?;
            let Some(event) = event else {
                return Ok(out.freeze());
            };
            let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
            if number.is_some() && number <= self.last_event {
                continue;
            }
            self.last_event = number.or(self.last_event);
            out.extend_from_slice(&event.raw);
        }
    }

    /// Goes on with the answer at another server, after the last event passed on.
    ///
    /// # Errors
    ///
    /// Returns `failed` when the stream may not go on or no server takes it.
    async fn resume(&mut self, failed: Error) -> Result<()> {
        // Dropping the answer closes its connection, so that the server stops.
        if let Some(exchange) = self.exchange.take() {
            let now = self.cx.clock.now();
            self.cx
                .health
                .record(exchange.server.key(), Observation::Unreachable, now);
            if failed.classify() == Category::Cut {
                let fingerprint = self.req.state.fingerprint;
                self.cx.record_crash(fingerprint, &exchange.server, now);
            }
        }
        self.events = EventReader::new();
        if !self.resumable {
            return Err(failed);
        }
        let cx = self.cx.clone();
        while self.tries.sent_count < self.req.state.max_attempts {
            let now = cx.clock.now();
            if self.req.time_left(now).is_some_and(|left| left.is_zero()) {
                break;
            }
            if let Err(err) = cx.poison_requests.check(self.req.state.fingerprint, now) {
                return Err(err.with_verdict_at_least(failed.verdict()));
            }
            let stage = &self.req.state;
            let tried = &self.tries.tried;
            let prompt = stage.prompt.as_ref();
            let server = cx.choose(&stage.pool, stage.settings, prompt, tried, now);
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
                .record_placement(&cx, &server, &mut self.tries, now);
            log::info!(
                "stream resumed id={} server={} after={:?} cause=\"{failed}\"",
                self.req.id(),
                server.name,
                self.last_event
            );
            let exchange = self
                .req
                .fetch_response_head(&cx, &server, &mut self.tries, self.last_event)
                .await;
            match exchange {
                Ok(exchange) if exchange.ensure_ran().is_ok() && exchange.status.is_success() => {
                    self.tries.sent_count += 1;
                    self.heard = cx.clock.now();
                    self.exchange = Some(exchange);
                    return Ok(());
                }
                Ok(_) => self.tries.sent_count += 1,
                Err(failure) => self.tries.sent_count += u32::from(failure.sent),
            }
        }
        Err(failed)
    }
}
