//! Resumption of streams at another server.
//!
//! A server that is only silent may still go on. Its response is read until another server has sent
//! an event, and the one that sends first is forwarded to the caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;

use super::{
    event_buffer::EventBuffer,
    exchange::Exchange,
    selection::Selection,
    stream::{ResponseStream, StreamRead, STALL_CHECK_INTERVAL},
    successor::Successor,
    Observation, Wire,
};
use crate::{catalog::Server, Category, Error, Result};

/// Interval between two checks of a server that has been asked to go on with a stream.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why another server does not take a stream.
enum NotTaken {
    /// The server before has gone on with it.
    WentOn,
    Failed(String),
}

impl<W: Wire> ResponseStream<W> {
    /// Drops the exchange whose response broke off with `error`, which closes its connection, so
    /// that the server stops the request.
    pub(super) fn drop_exchange(&mut self, error: &Error) {
        self.events = EventBuffer::new(&self.cx.memory);
        if let Some(exchange) = self.exchange.take() {
            self.record_break(&exchange, error);
        }
    }

    /// Records that a response broke off with `error`.
    fn record_break(&self, exchange: &Exchange, error: &Error) {
        let now = self.cx.clock.now();
        self.cx
            .health
            .record(exchange.server.key(), Observation::Unreachable, now);
        if error.classify() == Category::Cut {
            let is_beginning = exchange.body.is_beginning();
            self.cx
                .record_crash(&self.req, &exchange.server, is_beginning, now);
        }
    }

    /// Resumes the stream at another server, after the last event forwarded to the caller.
    ///
    /// If the current server still has an exchange and no other one takes the stream, the stream
    /// stays there.
    ///
    /// # Errors
    ///
    /// Returns `cause` when no exchange is left and the stream may not be resumed or no server
    /// takes it, and [`Category::Quarantined`] when the request has crashed servers.
    pub(super) async fn resume(&mut self, cause: Error) -> Result<()> {
        let cx = self.cx.clone();
        while self.may_resume() {
            let now = cx.clock.now();
            if self
                .req
                .time_left(now)
                .is_some_and(|time_left| time_left.is_zero())
            {
                break;
            }
            if let Err(err) = cx.check_not_poison(&self.req.state, now) {
                if self.exchange.is_some() {
                    break;
                }
                return Err(err.with_verdict_at_least(cause.verdict()));
            }
            let selection = Selection::new(&self.req.state).with_tried(&self.attempts.tried);
            let server = selection.choose(&cx, now);
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
            let successor = match self.ask(&server).await {
                Ok(successor) => successor,
                Err(not_taken) => {
                    self.attempts.prefill = None;
                    let reason = match &not_taken {
                        NotTaken::WentOn => "the server before has gone on",
                        NotTaken::Failed(reason) => reason,
                    };
                    log::info!(
                        "stream not taken id={} server={} reason=\"{reason}\"",
                        self.req.id(),
                        server.name
                    );
                    match not_taken {
                        NotTaken::WentOn => return Ok(()),
                        NotTaken::Failed(_) => continue,
                    }
                }
            };
            log::info!(
                "stream resumed id={} server={} after={:?} received_bytes={} cause=\"{cause}\"",
                self.req.id(),
                successor.exchange.server.name,
                self.last_event,
                successor.events.len()
            );
            self.drop_exchange(&cause);
            self.last_progress = cx.clock.now();
            self.is_known_good = false;
            self.events = successor.events;
            if !self.events.is_empty() {
                // What was received is taken like what is read from now on.
                self.pending = Some(StreamRead::Bytes(Bytes::new()));
            }
            self.exchange = Some(successor.exchange);
            return Ok(());
        }
        match self.exchange {
            Some(_) => Ok(()),
            None => Err(cause),
        }
    }

    /// Returns whether the stream may be sent to another server.
    pub(super) fn may_resume(&self) -> bool {
        self.resumable
            && self.pending.is_none()
            && self.attempts.sent_count < self.req.state.max_attempts
    }

    /// Records a frame of the current server's response while another server is asked; returns
    /// whether the current one has sent an event or the end of the stream, which is then kept.
    fn has_gone_on(
        &mut self,
        frame: Option<std::result::Result<Frame<Bytes>, hyper::Error>>,
    ) -> bool {
        match self.receive(frame) {
            None => false,
            Some(StreamRead::Bytes(bytes)) => {
                let has_event = self.take_new_events(&bytes).unwrap_or_else(|err| {
                    self.drop_exchange(&err);
                    false
                });
                if !has_event {
                    // Comments, which would be kept until a server goes on.
                    self.ready.clear();
                }
                has_event
            }
            Some(StreamRead::Broken(err)) => {
                self.drop_exchange(&err);
                false
            }
            Some(read) => {
                self.pending = Some(read);
                true
            }
        }
    }

    /// Asks `server` to go on with the stream, and reads from the current server meanwhile.
    ///
    /// # Errors
    ///
    /// Returns why the stream stays at the current server.
    async fn ask(&mut self, server: &Arc<Server>) -> std::result::Result<Successor, NotTaken> {
        let (cx, req) = (self.cx.clone(), self.req.clone());
        let mut attempts = std::mem::take(&mut self.attempts);
        let asked = {
            let head = req.fetch_response_head(&cx, server.clone(), &mut attempts, self.last_event);
            tokio::pin!(head);
            loop {
                let Some(exchange) = &mut self.exchange else {
                    break Some(head.await);
                };
                let frame = tokio::select! {
                    // The current server may send data without end.
                    biased;
                    head = &mut head => break Some(head),
                    frame = exchange.body.frame() => frame,
                    () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {
                        cx.record_stall(&exchange.server, cx.clock.now());
                        continue;
                    }
                };
                if self.has_gone_on(frame) {
                    break None;
                }
            }
        };
        self.attempts = attempts;
        match asked {
            Some(Ok(exchange)) if exchange.status == self.status => {
                self.await_event(Successor::new(exchange, &cx.memory)).await
            }
            Some(Ok(exchange)) => {
                let reason = format!("the server answered {}", exchange.status);
                Err(NotTaken::Failed(reason))
            }
            Some(Err(failure)) => Err(NotTaken::Failed(failure.err.to_string())),
            None => Err(NotTaken::WentOn),
        }
    }

    /// Reads from `successor` and from the current server until one of them goes on.
    ///
    /// `successor` is returned once it has sent an event or has ended, and once the current server
    /// has no exchange any more.
    ///
    /// # Errors
    ///
    /// Returns why the stream stays at the current server.
    async fn await_event(
        &mut self,
        mut successor: Successor,
    ) -> std::result::Result<Successor, NotTaken> {
        let cx = self.cx.clone();
        let asked = cx.clock.now();
        loop {
            let now = cx.clock.now();
            let time_left = self.req.time_left(now).unwrap_or(Duration::MAX);
            if time_left.is_zero() {
                let reason = "the deadline of the stream has passed";
                return Err(NotTaken::Failed(reason.to_string()));
            }
            if self.exchange.is_none() {
                return Ok(successor);
            }
            let silence = now.since(asked);
            if self.may_resume() && self.is_silent(&successor.exchange.server, silence, now) {
                return Err(NotTaken::Failed("the server sent no event in time".into()));
            }
            let Some(exchange) = &mut self.exchange else {
                return Ok(successor);
            };
            // In random order, as either server may send data without end.
            tokio::select! {
                frame = exchange.body.frame() => if self.has_gone_on(frame) {
                    return Err(NotTaken::WentOn);
                },
                read = successor.read(self.last_event) => {
                    let now = cx.clock.now();
                    match read {
                        Ok(has_taken_over) => {
                            cx.record_data(&successor.exchange, now);
                            if has_taken_over {
                                return Ok(successor);
                            }
                        }
                        Err(err) => {
                            self.record_break(&successor.exchange, &err);
                            return Err(NotTaken::Failed(err.to_string()));
                        }
                    }
                }
                () = tokio::time::sleep(time_left.min(SUCCESSOR_CHECK_INTERVAL)) => {
                    if silence >= STALL_CHECK_INTERVAL {
                        cx.record_stall(&exchange.server, cx.clock.now());
                        cx.record_stall(&successor.exchange.server, cx.clock.now());
                    }
                }
            }
        }
    }
}
