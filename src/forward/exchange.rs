//! One request at one server, as far as the head of the answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    link::{Link, Sent},
    AnswerHead, Flight, Forwarder, Note, Outcome, Passing, Wire,
};
use crate::{catalog::Server, Category, Error, Instant, RequestId, Result};

/// What is the same at each server that a request is sent to.
#[derive(Debug)]
pub(super) struct Call {
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
    pub(super) head: AnswerHead,
    pub(super) body: Incoming,
    link: Link,
    _flight: Flight,
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
        call: &Call,
        server: &Arc<Server>,
        passing: &Passing<'_>,
    ) -> std::result::Result<Exchange, Failure> {
        let flight = self.flights.begin(server.key());
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = self.wire.call_headers(&call.headers, passing);
        let (link, answer) = self.send(req, server).await?;
        let (parts, body) = answer.into_parts();
        let head = self
            .wire
            .read_answer(parts.status, &parts.headers, call.attempt.as_ref());
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
    ) -> std::result::Result<(Link, http::Response<Incoming>), Failure> {
        loop {
            let mut link = match self.links.link(server, self.clock.now()).await {
                Ok(link) => link,
                Err(err) => {
                    self.health.note(server.key(), Note::Gone, self.clock.now());
                    return Err(Failure { err, sent: false });
                }
            };
            if !link.is_used() {
                self.traffic.connections.inc();
            }
            match link.send(req).await {
                Ok(answer) => return Ok((link, answer)),
                Err(Sent::No(unsent)) if link.is_used() => req = *unsent,
                Err(Sent::No(_)) => {
                    self.health.note(server.key(), Note::Gone, self.clock.now());
                    let err = Error::not_run(Category::Unavailable, "the connection was closed");
                    return Err(Failure { err, sent: false });
                }
                Err(Sent::Perhaps(err)) => {
                    if !link.is_used() {
                        self.health.note(server.key(), Note::Gone, self.clock.now());
                    }
                    return Err(Failure { err, sent: true });
                }
            }
        }
    }

    fn note_answer(&self, server: &Server, head: &AnswerHead, status: StatusCode) {
        let note = match head.outcome {
            Outcome::Ran if status.is_server_error() => Note::Failed,
            Outcome::Ran => Note::Answered,
            Outcome::OtherServer => Note::Gone,
            Outcome::NotRun | Outcome::OtherRequest => Note::Heard,
        };
        self.health.note(server.key(), note, self.clock.now());
    }

    /// Keeps the connection of an answer that was read whole.
    pub(super) fn finish(&self, exchange: Exchange, now: Instant) {
        let Exchange {
            server, link, head, ..
        } = exchange;
        self.links.keep(server.key(), link, head.keep_alive, now);
    }
}

impl Exchange {
    /// Returns what the answer says when it is no answer of the server to the request.
    pub(super) fn check(&self) -> Result<()> {
        let not_run = |message| Err(Error::not_run(Category::Overloaded, message));
        match self.head.outcome {
            Outcome::Ran => Ok(()),
            Outcome::NotRun => not_run("the server did not run the request"),
            Outcome::OtherServer => not_run("another server has the address"),
            Outcome::OtherRequest => Err(Error::may_have_run(
                Category::Backend,
                "the answer belongs to another request",
            )),
        }
    }
}
