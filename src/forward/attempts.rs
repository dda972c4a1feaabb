//! Sends a request to one server after another until one answers it or no attempt is left.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Response, StatusCode};

use super::{
    buffered::BufferedResponse,
    exchange::{AttemptFailure, Exchange},
    full_body,
    selection::Selection,
    stream, Body, DrainStage, Forwarder, ProxyRequest, Routed, Wire,
};
use crate::{
    catalog::{Server, ServerKey},
    placement::{Prefill, SessionKey},
    Category, Error, Instant, Result, Verdict,
};

/// Time left below which a request is no longer sent to a server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Number of failed attempts to send the request to a server after which the request itself fails.
pub(super) const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Mean retry delay given to a caller whose request no server ran.
const RETRY_AFTER_MEAN: Duration = Duration::from_millis(400);

/// Multiple of the response time goal, counted from the arrival of a request, for which it waits
/// while an engine prefills the same prompt for another request.
///
/// The rest of the goal is left for the request's own prefill if the other one does not complete.
const PROMPT_WAIT_GOAL_FACTOR: f64 = 0.5;

/// Statuses that tell callers that the request did not run.
///
/// Servers may send them even for a request that they ran.
pub(super) const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Servers tried so far for a request, and the outcome of the attempts at them.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Servers chosen so far, in order.
    pub(super) tried: Vec<ServerKey>,
    /// Number of servers to which the request was sent.
    pub(super) sent_count: u32,
    /// Number of servers to which the request could not be sent.
    pub(super) unsent_count: u32,
    /// Combined verdict of the failed attempts.
    pub(super) verdict: Verdict,
    /// Address from which the server that was chosen last can copy its cached prompt prefix.
    pub(super) prompt_source: Option<SocketAddr>,
    /// Prefill of the prompt at the server that was chosen last.
    pub(super) prefill: Option<Prefill>,
}

/// Outcome of one attempt at one server.
enum AttemptOutcome {
    Answered(Box<BufferedResponse>),
    Streaming(Box<Exchange>),
    /// The server ran the request and answered with a server error.
    ServerFailed(Box<BufferedResponse>),
    Failed(AttemptFailure),
}

impl ProxyRequest<Routed> {
    /// Sends the request to one server after another until one answers it.
    ///
    /// # Errors
    ///
    /// Returns an error with the combined verdict of all attempts when no server answers.
    pub(super) async fn forward<W: Wire>(self, cx: &Arc<Forwarder<W>>) -> Result<Response<Body>> {
        let allowance = cx.policy().retries;
        cx.retries
            .earn(&self.state.pool, &allowance, cx.clock.now());
        let mut attempts = Attempts::default();
        // A server's whole answer that reports a failure counts unless a later one replaces it.
        let mut failed_answer = None;
        let or_failed_answer = |answer: Option<Response<Body>>, err| match answer {
            Some(answer) => Ok(self.record_answer(cx, answer)),
            None => Err(err),
        };
        loop {
            let server = match self.choose_next_server(cx, &mut attempts).await {
                Ok(Some(server)) => server,
                Ok(None) => {
                    return or_failed_answer(failed_answer, self.no_server_error(cx, &attempts))
                }
                Err(err) => return or_failed_answer(failed_answer, err),
            };
            match self.attempt_at(cx, server, &mut attempts).await {
                AttemptOutcome::Answered(response) => {
                    let answer = self.take_answer(cx, *response);
                    return Ok(self.record_answer(cx, answer));
                }
                AttemptOutcome::Streaming(exchange) => {
                    return stream::forward_stream(cx.clone(), self, *exchange, attempts).await;
                }
                AttemptOutcome::ServerFailed(response) => {
                    attempts.verdict = attempts.verdict.strongest(Verdict::MayHaveRun);
                    let answer = self.take_answer(cx, *response);
                    if !self.may_retry(cx, &attempts, Verdict::MayHaveRun) {
                        return Ok(self.record_answer(cx, answer));
                    }
                    failed_answer = Some(answer);
                }
                AttemptOutcome::Failed(failure) => {
                    self.record_failure(cx, &failure, &mut attempts);
                    let verdict = failure.err.verdict();
                    let retry = if failure.sent {
                        self.may_retry(cx, &attempts, verdict)
                    } else {
                        attempts.unsent_count < MAX_UNSENT_ATTEMPTS
                    };
                    if !retry {
                        let err = self.final_error(cx, failure.err, &attempts);
                        return or_failed_answer(failed_answer, err);
                    }
                }
            }
        }
    }

    /// Records that a server gave no response that can be passed on.
    pub(super) fn record_failure<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        failure: &AttemptFailure,
        attempts: &mut Attempts,
    ) {
        log::info!(
            "attempt failed id={} server={} sent={} error=\"{}\"",
            self.id(),
            failure.server.name,
            failure.sent,
            failure.err
        );
        if failure.sent && failure.err.classify() == Category::Cut {
            cx.record_crash(self, &failure.server, true, cx.clock.now());
        }
        attempts.verdict = attempts.verdict.strongest(failure.err.verdict());
        attempts.unsent_count += u32::from(!failure.sent);
    }

    /// Chooses the next server; while the chosen one prefills the same prompt for another request,
    /// waits and chooses again.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Timeout`] when too little time is left, [`Category::NotServing`] when
    /// the last responses of the router are due, and [`Category::Quarantined`] when the request has
    /// crashed servers.
    async fn choose_next_server<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        attempts: &mut Attempts,
    ) -> Result<Option<Arc<Server>>> {
        loop {
            let prefill_ended = cx.prefills.ended();
            let now = cx.clock.now();
            if cx.drain_stage(now) >= DrainStage::Finishing {
                return Err(cx.shutdown_error(attempts.verdict));
            }
            if self
                .time_left(now)
                .is_some_and(|time_left| time_left < MIN_TIME_LEFT)
            {
                return Err(Error::new(
                    Category::Timeout,
                    attempts.verdict,
                    "too little time is left to send the request",
                ));
            }
            let routed = &self.state;
            let checked = cx.check_not_poison(routed, now);
            checked.map_err(|err| err.with_verdict_at_least(attempts.verdict))?;
            let selection = Selection::new(routed).with_tried(&attempts.tried);
            let Some(server) = selection.choose(cx, now) else {
                return Ok(None);
            };
            match self.prompt_wait(cx, &server, now) {
                Some(wait) => {
                    log::info!(
                        "request waits id={} server={} reason=prompt_is_read longest_ms={}",
                        self.id(),
                        server.name,
                        wait.as_millis()
                    );
                    // Whether or not the prefill has ended, a server is chosen again.
                    drop(tokio::time::timeout(wait, prefill_ended).await);
                }
                None => {
                    self.record_placement(cx, &server, attempts, now);
                    return Ok(Some(server));
                }
            }
        }
    }

    /// Returns the longest time to wait while `server` prefills the prompt for another request, or
    /// `None` when it is not prefilling the prompt or no time is left to wait.
    fn prompt_wait<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Server,
        now: Instant,
    ) -> Option<Duration> {
        let prompt = self
            .state
            .prompt
            .filter(|_| self.state.settings.has_engines)?;
        let placement_key = (SessionKey::new(prompt.session), server.key());
        let until = self.arrived
            + self
                .state
                .response_time_goal
                .mul_f64(PROMPT_WAIT_GOAL_FACTOR);
        let wait = until.since(now);
        (!wait.is_zero() && cx.prefills.is_in_progress(placement_key, now)).then_some(wait)
    }

    /// Records that the request is sent to `server`.
    pub(super) fn record_placement<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Arc<Server>,
        attempts: &mut Attempts,
        now: Instant,
    ) {
        self.progress.record_server(server);
        cx.use_warm_up_slot(server, now);
        attempts.tried.push(server.key());
        if let Some(prompt) = &self.state.prompt {
            attempts.prompt_source = cx.prompt_source(&self.state.pool, prompt, server, now);
            attempts.prefill = cx.record_prompt(prompt, server.key(), now);
        }
    }

    async fn attempt_at<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: Arc<Server>,
        attempts: &mut Attempts,
    ) -> AttemptOutcome {
        let exchange = match self
            .fetch_response_head(cx, server, attempts, self.head.last_event)
            .await
        {
            Ok(exchange) => exchange,
            Err(failure) => return AttemptOutcome::Failed(failure),
        };
        if self.state.kind.is_stream() && exchange.status.is_success() {
            return AttemptOutcome::Streaming(Box::new(exchange));
        }
        let server = exchange.server.clone();
        let failed = |err| {
            AttemptOutcome::Failed(AttemptFailure {
                server,
                err,
                sent: true,
            })
        };
        let time_left = self.time_left(cx.clock.now());
        match cx.buffer_response(exchange, time_left).await {
            Ok(response) if NOT_RUN_STATUSES.contains(&response.exchange.status) => {
                let message = format!(
                    "the server ran the request but answered {}",
                    response.exchange.status
                );
                failed(Error::may_have_run(Category::Backend, message))
            }
            Ok(response) if response.exchange.status.is_server_error() => {
                AttemptOutcome::ServerFailed(Box::new(response))
            }
            Ok(response) => AttemptOutcome::Answered(Box::new(response)),
            Err(err) => failed(err),
        }
    }

    /// Returns a server that was not tried yet and can take the request.
    pub(super) fn other_server<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        attempts: &Attempts,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if cx.drain_stage(now) >= DrainStage::Finishing {
            return None;
        }
        let selection = Selection::new(&self.state).with_tried(&attempts.tried);
        selection.choose(cx, now)
    }

    /// Takes one retry from the shared retry budget; returns whether it was granted.
    pub(super) fn spend_retry<W: Wire>(&self, cx: &Forwarder<W>, now: Instant) -> bool {
        let allowance = cx.policy().retries;
        let routers = cx.presence.fleet_size();
        let granted = cx.retries.spend(&self.state.pool, &allowance, routers, now);
        cx.metrics.count_retry(granted);
        granted
    }

    /// Returns whether the request may be sent again after an attempt that ended with the verdict
    /// `last_verdict`; if so, takes the retry from the budget.
    fn may_retry<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        attempts: &Attempts,
        last_verdict: Verdict,
    ) -> bool {
        let allows_retry = last_verdict == Verdict::NotRun || self.state.kind.allows_rerun();
        if !allows_retry || attempts.sent_count >= self.state.max_attempts {
            return false;
        }
        let now = cx.clock.now();
        self.other_server(cx, attempts, now).is_some() && self.spend_retry(cx, now)
    }

    fn no_server_error<W: Wire>(&self, cx: &Forwarder<W>, attempts: &Attempts) -> Error {
        let selection = Selection::new(&self.state);
        let wait = selection.limit_wait(cx, cx.clock.now());
        let err = if selection.is_evacuated(cx) {
            cx.metrics.evacuated_rejections.inc();
            let message = "all servers of the pool are in evacuated failure domains";
            Error::not_run(Category::Unavailable, message)
        } else if wait.is_some() {
            let message = "the servers of the pool have reached the limits that they named";
            Error::not_run(Category::Overloaded, message)
        } else {
            let message = "no server of the pool can take the request";
            Error::not_run(Category::Unavailable, message)
        };
        err.with_retry_after(self.return_delay(cx, wait))
            .with_verdict_at_least(attempts.verdict)
    }

    /// Returns when a caller may return whose request no server took: after `limit_wait`, the time
    /// until the first server of the pool may get a request, and a random delay.
    fn return_delay<W: Wire>(&self, cx: &Forwarder<W>, limit_wait: Option<Duration>) -> Duration {
        limit_wait.unwrap_or_default() + cx.jittered_delay(RETRY_AFTER_MEAN)
    }

    fn final_error<W: Wire>(&self, cx: &Forwarder<W>, err: Error, attempts: &Attempts) -> Error {
        let err = err.with_verdict_at_least(attempts.verdict);
        match err.verdict() {
            Verdict::NotRun => {
                let wait = Selection::new(&self.state).limit_wait(cx, cx.clock.now());
                err.with_retry_after(self.return_delay(cx, wait))
            }
            _ => err,
        }
    }

    /// Builds the response to the caller from that of the server, whose connection is released.
    fn take_answer<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        response: BufferedResponse,
    ) -> Response<Body> {
        let BufferedResponse { mut exchange, body } = response;
        let headers = cx
            .wire
            .response_headers(std::mem::take(&mut exchange.headers));
        let mut response = Response::new(full_body(body));
        *response.status_mut() = exchange.status;
        *response.headers_mut() = headers;
        cx.release_connection(exchange, cx.clock.now());
        response
    }

    /// Records that the request gets the complete response `answer`, and returns it.
    fn record_answer<W: Wire>(&self, cx: &Forwarder<W>, answer: Response<Body>) -> Response<Body> {
        let now = cx.clock.now();
        cx.poison
            .requests
            .record_success(self.state.fingerprint, now);
        if answer.status().is_success() {
            cx.record_known_good(self, now);
        }
        cx.metrics.observe_answer(now.since(self.arrived));
        answer
    }
}
