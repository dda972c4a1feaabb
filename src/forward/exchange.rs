//! One exchange with one backend server: sends a request and receives the response head.

use std::sync::Arc;

use bytes::Bytes;
use http::{header, HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};

use super::{
    connection::{open_connection, Connection, SendError},
    response_body::ResponseBody,
    unanswered::Progress,
    ForwardParams, Forwarder, InFlightGuard, Observation, ResponseHead, RunOutcome, Wire,
};
use crate::{
    catalog::{LoadReport, Server},
    Category, Error, Instant, RequestId, Result,
};

/// The parts of a request that are the same in each attempt.
#[derive(Debug)]
pub(super) struct RequestTemplate {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) attempt: Option<RequestId>,
}

/// A request in flight at a server that has sent the head of its response.
pub(super) struct Exchange {
    pub(super) server: Arc<Server>,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) head: ResponseHead,
    pub(super) body: ResponseBody,
    /// Whether the first data of a stream, or the whole body of another response, was read.
    pub(super) is_prefetched: bool,
    /// Whether the head determines the end of the body, by a length, by chunks, or as it has none;
    /// otherwise the body ends with its connection.
    pub(super) is_framed: bool,
    connection: Connection,
    _in_flight: InFlightGuard,
}

/// Failure of one attempt to get a response from a server.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    pub(super) server: Arc<Server>,
    pub(super) err: Error,
    /// Whether the request may have been sent, so that it counts as an attempt.
    pub(super) sent: bool,
}

impl<W: Wire> Forwarder<W> {
    /// Sends the request to `server` and waits for the head of the response.
    pub(super) async fn exchange(
        &self,
        template: &RequestTemplate,
        progress: &Progress,
        server: &Arc<Server>,
        params: &ForwardParams<'_>,
    ) -> std::result::Result<Exchange, AttemptFailure> {
        let in_flight = self.in_flight.begin(server.key());
        let sent_at = self.clock.now();
        self.server_limits.record_sent(server.key(), sent_at);
        let mut req = Request::new(Full::new(template.body.clone()));
        *req.method_mut() = template.method.clone();
        *req.uri_mut() = template.uri.clone();
        *req.headers_mut() = self.wire.request_headers(&template.headers, params);
        let names_attempt = template.attempt.is_some();
        let (connection, response) = self.send(req, progress, server, names_attempt).await?;
        let (parts, body) = response.into_parts();
        if !is_final(parts.status) {
            self.health
                .record(server.key(), Observation::Failed, self.clock.now());
            let message = format!("the response has the status {}", parts.status.as_str());
            return Err(AttemptFailure {
                server: server.clone(),
                err: Error::may_have_run(Category::Backend, message),
                sent: true,
            });
        }
        let mut head =
            self.wire
                .parse_response_head(parts.status, &parts.headers, template.attempt.as_ref());
        // On a connection with an earlier request it may be the refusal of that one.
        if connection.is_reused() && !head.names_attempt && template.attempt.is_some() {
            head.outcome = RunOutcome::AttemptMismatch;
        }
        if let RunOutcome::NotRun | RunOutcome::Misdirected = head.outcome {
            progress.record_not_run();
        }
        self.record_response(server, &head, parts.status);
        if head.outcome == RunOutcome::Ran {
            let took = self.clock.now().since(sent_at);
            self.server_loads
                .record_response_time(&server.pool, head.load, took);
        }
        Ok(Exchange {
            server: server.clone(),
            is_framed: parts.headers.contains_key(header::CONTENT_LENGTH)
                || parts.headers.contains_key(header::TRANSFER_ENCODING)
                || body.is_end_stream(),
            status: parts.status,
            headers: parts.headers,
            head,
            body: ResponseBody::new(body, self.clock),
            is_prefetched: false,
            connection,
            _in_flight: in_flight,
        })
    }

    /// Sends a request on an idle connection, or on a new one when no idle one is usable.
    ///
    /// A request that names no attempt is sent on a new one, as a late copy of an earlier answer
    /// could not be told from its own answer.
    async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        progress: &Progress,
        server: &Arc<Server>,
        names_attempt: bool,
    ) -> std::result::Result<(Connection, http::Response<Incoming>), AttemptFailure> {
        loop {
            let acquired = match names_attempt {
                true => self.connections.acquire(server, self.clock.now()).await,
                false => open_connection(server.address).await,
            };
            let mut connection = match acquired {
                Ok(connection) => connection,
                Err(err) => {
                    self.health
                        .record(server.key(), Observation::Unreachable, self.clock.now());
                    return Err(AttemptFailure {
                        server: server.clone(),
                        err,
                        sent: false,
                    });
                }
            };
            if !connection.is_reused() {
                self.metrics.connections.inc();
            }
            progress.record_sent();
            let sent = connection.send(req).await;
            if let Err(SendError::NotSent(_)) = sent {
                progress.record_not_run();
            }
            match sent {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::NotSent(unsent)) if connection.is_reused() => req = *unsent,
                Err(SendError::NotSent(_)) => {
                    self.health
                        .record(server.key(), Observation::Unreachable, self.clock.now());
                    let err = Error::not_run(
                        Category::Unavailable,
                        "the server closed the connection before the request was sent",
                    );
                    return Err(AttemptFailure {
                        server: server.clone(),
                        err,
                        sent: false,
                    });
                }
                Err(SendError::MaybeSent(err)) => {
                    if !connection.is_reused() {
                        self.health.record(
                            server.key(),
                            Observation::Unreachable,
                            self.clock.now(),
                        );
                    }
                    return Err(AttemptFailure {
                        server: server.clone(),
                        err,
                        sent: true,
                    });
                }
            }
        }
    }

    fn record_response(&self, server: &Server, head: &ResponseHead, status: StatusCode) {
        let observation = match head.outcome {
            RunOutcome::Ran if status.is_server_error() => Observation::Failed,
            RunOutcome::Ran => Observation::Answered,
            RunOutcome::Misdirected => Observation::Unreachable,
            RunOutcome::NotRun => Observation::Rejected,
            RunOutcome::Unproven => Observation::Failed,
            RunOutcome::AttemptMismatch => Observation::Progress,
        };
        let now = self.clock.now();
        self.health.record(server.key(), observation, now);
        if head.outcome != RunOutcome::Misdirected {
            self.poison.parts.record_alive(server.key(), now, now);
            self.server_limits.record_response(server, head.limit, now);
            self.server_loads.record_report(server, head.load, now);
            if head.load == LoadReport::Malformed {
                self.metrics.loads_ignored.inc();
            }
            if let Some(pause) = head.retry_after {
                self.server_limits.record_rejection(server, pause, now);
            }
            if head.is_leaving {
                self.record_leaving(server, now);
            }
        }
    }

    /// Gives the connection back to the connection pool after the whole response was read.
    pub(super) fn release_connection(&self, exchange: Exchange, now: Instant) {
        let Exchange {
            server,
            connection,
            head,
            ..
        } = exchange;
        self.connections
            .release(server.key(), connection, head.keep_alive, now);
    }
}

/// Returns whether `status` is one of a final response.
///
/// Requests ask for no other protocol, so that 101 answers none of them.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Exchange {
    /// Checks that the server ran the request and that the response belongs to it.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] with the verdict "not run" when the server did not run
    /// the request, and [`Category::Backend`] when the response belongs to another request or lacks
    /// its proof.
    pub(super) fn ensure_ran(&self) -> Result<()> {
        let not_run = |message| Err(Error::not_run(Category::Overloaded, message));
        match self.head.outcome {
            RunOutcome::Ran => Ok(()),
            RunOutcome::NotRun => not_run("the server did not run the request"),
            RunOutcome::Misdirected => not_run("another server has the address"),
            RunOutcome::AttemptMismatch => Err(Error::may_have_run(
                Category::Backend,
                "the response belongs to another request",
            )),
            RunOutcome::Unproven => Err(Error::may_have_run(
                Category::Backend,
                "the response is a success without proof",
            )),
        }
    }
}
