//! One request at one server, as far as the head of the answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    connection::{Connection, SendError},
    ForwardParams, Forwarder, InFlightGuard, Observation, ResponseHead, RunOutcome, Wire,
};
use crate::{catalog::Server, Category, Error, Instant, RequestId, Result};

/// What is the same at each server that a request is sent to.
#[derive(Debug)]
pub(super) struct RequestTemplate {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) attempt: Option<RequestId>,
}

/// An answer whose head has arrived.
pub(super) struct Exchange {
    pub(super) server: Arc<Server>,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) head: ResponseHead,
    pub(super) body: Incoming,
    link: Connection,
    _flight: InFlightGuard,
}

/// Why there is no answer of the server to the request.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) err: Error,
    /// Whether the request was sent, so that it counts as an attempt.
    pub(super) sent: bool,
}

impl<W: Wire> Forwarder<W> {
    /// Sends `call` to `server` and waits for the head of the answer.
    pub(super) async fn exchange(
        &self,
        call: &RequestTemplate,
        server: &Arc<Server>,
        passing: &ForwardParams<'_>,
    ) -> std::result::Result<Exchange, Failure> {
        let flight = self.in_flight.begin(server.key());
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = self.wire.request_headers(&call.headers, passing);
        let (link, answer) = self.send(req, server).await?;
        let (parts, body) = answer.into_parts();
        let head =
            self.wire
                .parse_response_head(parts.status, &parts.headers, call.attempt.as_ref());
        self.note_answer(server, &head, parts.status);
        Ok(Exchange {
            server: server.clone(),
            status: parts.status,
            headers: parts.headers,
            head,
            body,
            link,
            _flight: flight,
        })
    }

    /// Sends a request on a connection that is idle or, when all are closed, on a new one.
    async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        server: &Arc<Server>,
    ) -> std::result::Result<(Connection, http::Response<Incoming>), Failure> {
        loop {
            let mut link = match self.connections.acquire(server, self.clock.now()).await {
                Ok(link) => link,
                Err(err) => {
                    self.health
                        .record(server.key(), Observation::Unreachable, self.clock.now());
                    return Err(Failure { err, sent: false });
                }
            };
            if !link.is_reused() {
                self.traffic.connections.inc();
            }
            match link.send(req).await {
                Ok(answer) => return Ok((link, answer)),
                Err(SendError::NotSent(unsent)) if link.is_reused() => req = *unsent,
                Err(SendError::NotSent(_)) => {
                    self.health
                        .record(server.key(), Observation::Unreachable, self.clock.now());
                    let err = Error::not_run(Category::Unavailable, "the connection was closed");
                    return Err(Failure { err, sent: false });
                }
                Err(SendError::MaybeSent(err)) => {
                    if !link.is_reused() {
                        self.health.record(
                            server.key(),
                            Observation::Unreachable,
                            self.clock.now(),
                        );
                    }
                    return Err(Failure { err, sent: true });
                }
            }
        }
    }

    fn note_answer(&self, server: &Server, head: &ResponseHead, status: StatusCode) {
        let note = match head.outcome {
            RunOutcome::Ran if status.is_server_error() => Observation::Failed,
            RunOutcome::Ran => Observation::Answered,
            RunOutcome::Misdirected => Observation::Unreachable,
            RunOutcome::NotRun | RunOutcome::AttemptMismatch => Observation::Progress,
        };
        self.health.record(server.key(), note, self.clock.now());
    }

    /// Keeps the connection of an answer that was read whole.
    pub(super) fn release_connection(&self, exchange: Exchange, now: Instant) {
        let Exchange {
            server, link, head, ..
        } = exchange;
        self.connections
            .release(server.key(), link, head.keep_alive, now);
    }
}

impl Exchange {
    /// Returns what the answer says when it is no answer of the server to the request.
    pub(super) fn ensure_ran(&self) -> Result<()> {
        let not_run = |message| Err(Error::not_run(Category::Overloaded, message));
        match self.head.outcome {
            RunOutcome::Ran => Ok(()),
            RunOutcome::NotRun => not_run("the server did not run the request"),
            RunOutcome::Misdirected => not_run("another server has the address"),
            RunOutcome::AttemptMismatch => Err(Error::may_have_run(
                Category::Backend,
                "the answer belongs to another request",
            )),
        }
    }
}
