//! Serves the requests of callers, from their arrival to the head of the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{request, Response};
use hyper::body::Incoming;

use super::{
    unanswered::{Progress, Unanswered},
    whole_body::{read_whole, steady_timeout, ReadError},
    Body, Forwarder, ProxyRequest, Received, RequestHead, Wire,
};
use crate::{routes::CallerLimits, Category, Error, Instant, Result};

impl<W: Wire> Forwarder<W> {
    /// Serves one request of a caller and returns the response.
    pub async fn serve(self: Arc<Self>, req: http::Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let (parts, body) = req.into_parts();
        let head = self.wire.parse_request_head(&parts);
        let attempt = head.as_ref().ok().and_then(|head| head.attempt.clone());
        let unanswered = Unanswered::new(self.clone(), attempt.clone(), arrived);
        // Boxed because a connection holds the memory of its service's future while it is open.
        let run = Box::pin(
            self.clone()
                .run(parts, body, head, arrived, unanswered.progress()),
        );
        let response = match run.await {
            Ok(response) => response,
            Err(err) => {
                let id = attempt.as_ref().map_or("-", |id| id.as_str());
                let took_ms = self.clock.now().since(arrived).as_millis();
                log::info!(
                    "request failed id={id} took_ms={took_ms} verdict={} error=\"{err}\"",
                    err.verdict().as_str()
                );
                self.metrics.count_failure(&err);
                self.wire.error_response(&err, attempt.as_ref())
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
    ) -> Result<Response<Body>> {
        let limits = self.limits();
        let caller_timeout = head.as_ref().ok().and_then(|head| head.timeout);
        // The body is read even if the request is refused: closing a connection with unread
        // bytes may discard the response.
        let body = read_body(body, limits.max_body_bytes, caller_timeout).await?;
        progress.record_read();
        let req = ProxyRequest::<Received>::new(parts, body, head?, arrived, progress);
        // Reading the body takes time, so the route table is looked up only now.
        let table = self.feed.routes.current();
        let req = req.route(&self, table.as_deref())?;
        tokio::select! {
            biased;
            response = req.forward(&self) => response,
            // Ends the exchange with the server, if any; the server may have run the request.
            () = self.last_answer_due() => Err(Error::may_have_run(
                Category::Timeout,
                "the router shuts down before a server has answered",
            )),
        }
    }

    /// Returns the limits on callers that are in force.
    pub fn limits(&self) -> CallerLimits {
        let table = self.feed.routes.current();
        table.map_or(CallerLimits::DEFAULT, |table| table.limits())
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

/// Reads the body of a request, within `caller_timeout` if there is one.
async fn read_body(
    body: Incoming,
    limit: usize,
    caller_timeout: Option<Duration>,
) -> Result<Bytes> {
    let caller_timeout = caller_timeout.unwrap_or(Duration::MAX);
    let timeout = |received| steady_timeout(received).min(caller_timeout);
    let body = read_whole(body, limit, timeout).await;
    body.map_err(|err| match err {
        ReadError::TooLarge => {
            let message = format!("the body exceeds {limit} bytes");
            Error::not_run(Category::TooLarge, message)
        }
        ReadError::Timeout => Error::not_run(Category::Timeout, "the body did not arrive in time"),
        ReadError::Broken(err) => Error::not_run(Category::BadInput, err.to_string()),
    })
}
