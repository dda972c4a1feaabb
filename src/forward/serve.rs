//! Serves the requests of callers, from their arrival to the head of the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{request, Response};
use hyper::body::{Body as _, Incoming};

use super::{
    body::BodyUnread,
    unanswered::{Progress, Unanswered},
    whole_body::{read_whole, steady_timeout, CallerRoom, ReadError},
    Body, Drain, Forwarder, ProxyRequest, Received, RequestHead, Wire,
};
use crate::{
    memory::Holding,
    routes::CallerLimits,
    tasks::{self, Panicked},
    Category, Error, Instant, Result, Verdict,
};

/// Mean retry delay given to callers for whose body the router has no memory left.
const NO_MEMORY_DELAY: Duration = Duration::from_millis(400);

impl<W: Wire> Forwarder<W> {
    /// Serves one request of a caller and returns the response.
    pub async fn serve(self: Arc<Self>, req: http::Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let (mut parts, body) = req.into_parts();
        let holding = parts.extensions.remove::<Holding>();
        let holding = holding.unwrap_or_else(|| self.memory.holding(arrived));
        let head = tasks::catch(|| self.wire.parse_request_head(&parts));
        let head = head.unwrap_or_else(|Panicked| Err(panic_error(Verdict::NotRun)));
        let attempt = head.as_ref().ok().and_then(|head| head.attempt.clone());
        let unanswered = Unanswered::new(self.clone(), attempt.clone(), arrived);
        let progress = unanswered.progress();
        // Boxed because a connection holds the memory of its service's future while it is open.
        let run = Box::pin(tasks::run(
            "request",
            self.clone()
                .run(parts, body, head, arrived, progress.clone(), holding),
        ));
        let outcome = run.await;
        let outcome = outcome.unwrap_or_else(|Panicked| Err(panic_error(progress.verdict())));
        let response = match outcome {
            Ok(response) => response,
            Err(err) => {
                let id = attempt.as_ref().map_or("-", |id| id.as_str());
                let took_ms = self.clock.now().since(arrived).as_millis();
                log::info!(
                    "request failed id={id} took_ms={took_ms} verdict={} error=\"{err}\"",
                    err.verdict().as_str()
                );
                self.metrics.count_failure(&err);
                let mut response = self.wire.error_response(&err, attempt.as_ref());
                if !progress.is_read() {
                    response.extensions_mut().insert(BodyUnread);
                }
                response
            }
        };
        unanswered.guard(response)
    }

    async fn run(
        self: Arc<Self>,
        parts: request::Parts,
        body: Incoming,
        head: Result<RequestHead>,
        arrived: Instant,
        progress: Progress,
        holding: Holding,
    ) -> Result<Response<Body>> {
        let limits = self.limits();
        let caller_timeout = head.as_ref().ok().and_then(|head| head.timeout);
        // The body is read even if the request is refused, unless it is too large.
        let body = tokio::select! {
            biased;
            body = self.read_body(body, &holding, limits.max_body_bytes, caller_timeout) => body?,
            () = holding.given_up() => return Err(self.no_memory_error()),
            () = self.drain_reaches(Drain::last_read_at) => {
                return Err(self.shutdown_error(Verdict::NotRun));
            }
        };
        progress.record_read();
        holding.run(self.clock.now());
        let req = ProxyRequest::<Received>::new(parts, body, head?, arrived, progress.clone());
        // Reading the body takes time, so the route table is looked up only now.
        let table = self.feed.routes.current();
        let req = req.route(&self, table.as_deref())?;
        tokio::select! {
            biased;
            // Boxed because the body is read before, for as long as its caller likes.
            response = Box::pin(req.forward(&self)) => response,
            // Ends the exchange with the server, if any.
            () = self.drain_reaches(Drain::last_answer_at) => {
                Err(self.shutdown_error(progress.verdict()))
            }
        }
    }

    /// Reads the body of a request, within `caller_timeout` if there is one.
    async fn read_body(
        &self,
        body: Incoming,
        holding: &Holding,
        limit: usize,
        caller_timeout: Option<Duration>,
    ) -> Result<Bytes> {
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large_error(limit));
        }
        let caller_timeout = caller_timeout.unwrap_or(Duration::MAX);
        let timeout = |received| steady_timeout(received).min(caller_timeout);
        let room = CallerRoom::new(holding, self.clock);
        let body = read_whole(body, limit, room, timeout).await;
        body.map_err(|err| match err {
            ReadError::TooLarge => too_large_error(limit),
            ReadError::NoMemory(err) => {
                log::debug!("no memory for a body error=\"{err}\"");
                self.no_memory_error()
            }
            ReadError::Timeout => {
                Error::not_run(Category::Timeout, "the body did not arrive in time")
            }
            ReadError::Broken(err) => Error::not_run(Category::BadInput, err.to_string()),
        })
    }

    /// Returns the error of a request whose body is not read, as there is no memory for it.
    fn no_memory_error(&self) -> Error {
        let message = "the router has no memory left for the body";
        self.retry_later_error(Category::Overloaded, message, NO_MEMORY_DELAY)
    }

    /// Returns the limits on callers that are in force.
    pub fn limits(&self) -> CallerLimits {
        let table = self.feed.routes.current();
        table.map_or(CallerLimits::DEFAULT, |table| table.limits())
    }

    /// Returns the error of a request that this router no longer forwards, as it shuts down.
    pub(super) fn shutdown_error(&self, verdict: Verdict) -> Error {
        if verdict == Verdict::NotRun {
            let message = "the router is shutting down";
            return self.retry_later_error(Category::NotServing, message, Duration::ZERO);
        }
        let message = "the router shuts down before a server has answered";
        Error::new(Category::Timeout, verdict, message)
    }

    /// Returns an error that asks the caller to retry after a randomized delay around `mean`.
    pub(super) fn retry_later_error(
        &self,
        category: Category,
        message: &str,
        mean: Duration,
    ) -> Error {
        Error::not_run(category, message).with_retry_after(self.jittered_delay(mean))
    }
}

fn too_large_error(limit: usize) -> Error {
    let message = format!("the body exceeds {limit} bytes");
    Error::not_run(Category::TooLarge, message)
}

/// Returns the error of a request whose handling panicked.
pub(super) fn panic_error(verdict: Verdict) -> Error {
    Error::new(Category::Internal, verdict, "the router failed")
}
