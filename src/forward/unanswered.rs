//! Tells which requests end without a complete answer, and how far they had come.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{ready, Context, Poll},
};

use bytes::Bytes;
use http::Response;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;

use super::{serve::panic_error, Body, DrainStage, Forwarder, Wire};
use crate::{
    catalog::Server,
    sync::lock,
    tasks::{self, Panicked},
    Error, Instant, RequestId, Verdict,
};

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its body is being read.
    Reading,
    /// It was read; no server has received it, other than those that did not run it.
    Unsent,
    /// It may have been sent to a server whose response is not complete, or not yet streamed.
    Sent,
    /// Its response is being forwarded event by event.
    Streaming,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Reading => "reading",
            Stage::Unsent => "unsent",
            Stage::Sent => "sent",
            Stage::Streaming => "streaming",
        }
    }
}

#[derive(Debug)]
struct State {
    stage: Stage,
    /// Server chosen last.
    server: Option<Arc<Server>>,
    /// Number of attempts in which a server may run the request or has run it.
    may_run: u32,
}

/// Progress of one request.
#[derive(Debug, Clone)]
pub(super) struct Progress(Arc<Mutex<State>>);

impl Progress {
    fn new() -> Self {
        Progress(Arc::new(Mutex::new(State {
            stage: Stage::Reading,
            server: None,
            may_run: 0,
        })))
    }

    /// Records that the whole request was read.
    pub(super) fn record_read(&self) {
        lock(&self.0).stage = Stage::Unsent;
    }

    /// Returns whether the whole request was read.
    pub(super) fn is_read(&self) -> bool {
        lock(&self.0).stage != Stage::Reading
    }

    /// Records that `server` is to run the request or to resume its stream.
    pub(super) fn record_server(&self, server: &Arc<Server>) {
        lock(&self.0).server = Some(server.clone());
    }

    /// Records that the request is being sent to a server.
    pub(super) fn record_sent(&self) {
        let mut state = lock(&self.0);
        state.may_run += 1;
        if state.stage == Stage::Unsent {
            state.stage = Stage::Sent;
        }
    }

    /// Records that a server to which the request was being sent has not run it and will not.
    pub(super) fn record_not_run(&self) {
        let mut state = lock(&self.0);
        state.may_run = state.may_run.saturating_sub(1);
        if state.may_run == 0 && state.stage == Stage::Sent {
            state.stage = Stage::Unsent;
        }
    }

    /// Returns whether the request may have run.
    pub(super) fn verdict(&self) -> Verdict {
        match lock(&self.0).stage {
            Stage::Reading | Stage::Unsent => Verdict::NotRun,
            Stage::Sent | Stage::Streaming => Verdict::MayHaveRun,
        }
    }
}

/// Guard of a request; logs and counts the request if it is dropped before the answer is complete.
pub(super) struct Unanswered<W: Wire> {
    cx: Arc<Forwarder<W>>,
    id: Option<RequestId>,
    arrived: Instant,
    progress: Progress,
    is_answered: bool,
}

impl<W: Wire> Unanswered<W> {
    /// Starts to guard a request.
    pub(super) fn new(cx: Arc<Forwarder<W>>, id: Option<RequestId>, arrived: Instant) -> Self {
        Unanswered {
            cx,
            id,
            arrived,
            progress: Progress::new(),
            is_answered: false,
        }
    }

    /// Returns the progress of the request, to be updated.
    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Returns `response` with a body that keeps the guard until its end.
    ///
    /// A body whose length is known is complete already.
    pub(super) fn guard(mut self, response: Response<Body>) -> Response<Body> {
        if http_body::Body::size_hint(response.body())
            .exact()
            .is_some()
        {
            self.is_answered = true;
            return response;
        }
        lock(&self.progress.0).stage = Stage::Streaming;
        response.map(|body| GuardedBody { body, guard: self }.boxed_unsync())
    }
}

impl<W: Wire> Unanswered<W> {
    /// Records that forwarding the response panicked; returns the error that ends the response.
    fn record_panic(&self) -> Error {
        let err = panic_error(Verdict::MayHaveRun);
        let id = self.id.as_ref().map_or("-", |id| id.as_str());
        log::error!("stream broken off id={id} error=\"{err}\"");
        self.cx.metrics.count_failure(&err);
        err
    }
}

impl<W: Wire> Drop for Unanswered<W> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let now = self.cx.clock.now();
        let drain = self.cx.drain_stage(now);
        // Before the end of the process, a request is dropped only when its connection ends.
        let (level, cause) = match drain {
            DrainStage::Ended => (log::Level::Warn, "process_end"),
            _ => (log::Level::Info, "connection_ended"),
        };
        let state = lock(&self.progress.0);
        let stage = state.stage.as_str();
        log::log!(
            level,
            "request unanswered id={} server={} took_ms={} stage={stage} cause={cause} drain={}",
            self.id.as_ref().map_or("-", |id| id.as_str()),
            state
                .server
                .as_ref()
                .map_or("-", |server| server.name.as_str()),
            now.since(self.arrived).as_millis(),
            drain.as_str()
        );
        self.cx.metrics.count_unanswered(stage, cause);
    }
}

/// A body that keeps the guard of its request until its end.
struct GuardedBody<W: Wire> {
    body: Body,
    guard: Unanswered<W>,
}

impl<W: Wire> http_body::Body for GuardedBody<W> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = tasks::catch(|| Pin::new(&mut self.body).poll_frame(cx));
        let frame = match polled {
            Ok(polled) => ready!(polled),
            Err(Panicked) => Some(Err(self.guard.record_panic())),
        };
        // A stream that breaks off has a log line of its own.
        if !matches!(frame, Some(Ok(_))) || self.body.is_end_stream() {
            self.guard.is_answered = true;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
