//! Sends a request to servers until one answers it, as often as that is allowed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Response, StatusCode};

use super::{
    buffered::BufferedResponse,
    exchange::{Exchange, Failure},
    stream, whole, Body, ForwardParams, Forwarder, Observation, ProxyRequest, Routed, Wire,
};
use crate::{
    catalog::{Server, ServerKey},
    placement::{Prefill, SessionKey},
    routes::RouteKind,
    Category, Error, Instant, Result, Verdict,
};

/// Time left below which a request is not sent any more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Longest time to read an answer, where neither the route nor the caller bounds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Most servers that accept no connection before a request is given up.
const MAX_UNSENT: u32 = 4;

/// Mean delay proposed to a caller whose request found no room.
const RETRY_AFTER_MEAN: Duration = Duration::from_millis(400);

/// Multiple of the goal after which a server that nothing was heard of is given up.
const SILENT_GOAL_FACTOR: f64 = 1.5;

/// Multiple of the goal after which a server that answers others is given up.
const LATE_GOAL_FACTOR: f64 = 3.0;

/// Multiple of the goal after which a plain server is given up.
const PLAIN_GOAL_FACTOR: f64 = 4.0;

/// Multiple of the goal, counted from its arrival, for which a request waits while its
/// prompt is read for another one; the rest is for reading it after all.
const PROMPT_WAIT_GOAL_FACTOR: f64 = 0.5;

/// Statuses that tell callers that nothing has run; a server that ran a request may send
/// them all the same.
const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// What the servers tried so far have made of a request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub(super) tried: Vec<ServerKey>,
    /// Servers that the request was sent to.
    pub(super) sent_count: u32,
    unsent: u32,
    pub(super) verdict: Verdict,
    /// Whether the retry that comes next is already spent.
    prepaid: bool,
    /// Server from which the one that was chosen last can copy the prompt.
    prompt_from: Option<SocketAddr>,
    /// First read of the prompt by the server that was chosen last.
    pub(super) prefill: Option<Prefill>,
}

/// How a request went at one server.
enum AttemptOutcome {
    Answered(Box<BufferedResponse>),
    Streams(Box<Exchange>),
    /// The server ran the request and says that it failed.
    ServerFailed(Box<BufferedResponse>),
    Failed(Failure),
}

impl ProxyRequest<Routed> {
    /// Sends the request to servers until one answers it.
    pub(super) async fn forward<W: Wire>(self, cx: &Arc<Forwarder<W>>) -> Result<Response<Body>> {
        let allowance = cx.policy().retries;
        cx.retries
            .earn(&self.state.pool, &allowance, cx.clock.now());
        let mut tries = Attempts::default();
        loop {
            let Some(server) = self.next_server(cx, &mut tries).await? else {
                return Err(self.nothing_left(cx, &tries));
            };
            match self.try_at(cx, &server, &mut tries).await {
                AttemptOutcome::Answered(answer) => return Ok(self.pass_on(cx, *answer)),
                AttemptOutcome::Streams(exchange) => {
                    return Ok(stream::forward_stream(cx.clone(), self, *exchange, tries));
                }
                AttemptOutcome::ServerFailed(answer) => {
                    tries.verdict = tries.verdict.or(Verdict::MayHaveRun);
                    if !self.may_try_again(cx, &mut tries, Verdict::MayHaveRun) {
                        return Ok(self.pass_on(cx, *answer));
                    }
                }
                AttemptOutcome::Failed(failure) => {
                    log::info!(
                        "attempt failed id={} server={} sent={} error=\"{}\"",
                        self.id(),
                        server.name,
                        failure.sent,
                        failure.err
                    );
                    if failure.sent && failure.err.classify() == Category::Cut {
                        cx.record_crash(self.state.fingerprint, &server, cx.clock.now());
                    }
                    let verdict = failure.err.verdict();
                    tries.verdict = tries.verdict.or(verdict);
                    tries.unsent += u32::from(!failure.sent);
                    let again = if failure.sent {
                        self.may_try_again(cx, &mut tries, verdict)
                    } else {
                        tries.unsent < MAX_UNSENT
                    };
                    if !again {
                        return Err(self.given_up(cx, failure.err, &tries));
                    }
                }
            }
        }
    }

    /// Chooses the next server, and waits while that one reads the prompt for another request.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Timeout`] when there is no time left, and
    /// [`Category::Quarantined`] when the request has crashed servers.
    async fn next_server<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        tries: &mut Attempts,
    ) -> Result<Option<Arc<Server>>> {
        loop {
            let ended = cx.prefills.ended();
            let now = cx.clock.now();
            if self.time_left(now).is_some_and(|left| left < MIN_TIME_LEFT) {
                return Err(Error::new(
                    Category::Timeout,
                    tries.verdict,
                    "no time is left",
                ));
            }
            let stage = &self.state;
            let allowed = cx.poison_requests.check(stage.fingerprint, now);
            allowed.map_err(|err| err.with_verdict_at_least(tries.verdict))?;
            let Some(server) = cx.choose(
                &stage.pool,
                stage.settings,
                stage.prompt.as_ref(),
                &tries.tried,
                now,
            ) else {
                return Ok(None);
            };
            match self.wait_for_prompt(cx, &server, now) {
                Some(wait) => {
                    log::info!(
                        "request waits id={} server={} reason=prompt_is_read longest_ms={}",
                        self.id(),
                        server.name,
                        wait.as_millis()
                    );
                    // Whether it has ended or not, the choice is made anew.
                    drop(tokio::time::timeout(wait, ended).await);
                }
                None => {
                    self.record_placement(cx, &server, tries, now);
                    return Ok(Some(server));
                }
            }
        }
    }

    /// Returns the longest wait for `server` to read the prompt for another request, if it
    /// does and there is time to wait.
    fn wait_for_prompt<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Server,
        now: Instant,
    ) -> Option<Duration> {
        let prompt = self
            .state
            .prompt
            .filter(|_| self.state.settings.has_engines)?;
        let placed = (SessionKey::new(prompt.session), server.key());
        let until = self.arrived + self.state.goal.mul_f64(PROMPT_WAIT_GOAL_FACTOR);
        let wait = until.since(now);
        (!wait.is_zero() && cx.prefills.is_underway(placed, now)).then_some(wait)
    }

    /// Notes that the request goes to `server` now.
    pub(super) fn record_placement<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Server,
        tries: &mut Attempts,
        now: Instant,
    ) {
        tries.tried.push(server.key());
        if let Some(prompt) = &self.state.prompt {
            tries.prompt_from = cx.prompt_source(&self.state.pool, prompt, server, now);
            tries.prefill = cx.record_prompt(prompt, server.key(), now);
        }
    }

    async fn try_at<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Arc<Server>,
        tries: &mut Attempts,
    ) -> AttemptOutcome {
        let exchange = match self
            .fetch_response_head(cx, server, tries, self.head.last_event)
            .await
        {
            Ok(exchange) => exchange,
            Err(failure) => {
                tries.sent_count += u32::from(failure.sent);
                return AttemptOutcome::Failed(failure);
            }
        };
        tries.sent_count += 1;
        if let Err(err) = exchange.ensure_ran() {
            return AttemptOutcome::Failed(Failure { err, sent: true });
        }
        if self.state.kind.is_stream() && exchange.status.is_success() {
            return AttemptOutcome::Streams(Box::new(exchange));
        }
        let left = self.time_left(cx.clock.now()).unwrap_or(ANSWER_TIMEOUT);
        match cx.buffer_response(exchange, left).await {
            Ok(answer) if NOT_RUN_STATUSES.contains(&answer.exchange.status) => {
                let message = format!("the server ran it and answered {}", answer.exchange.status);
                let err = Error::may_have_run(Category::Backend, message);
                AttemptOutcome::Failed(Failure { err, sent: true })
            }
            Ok(answer) if answer.exchange.status.is_server_error() => {
                AttemptOutcome::ServerFailed(Box::new(answer))
            }
            Ok(answer) => AttemptOutcome::Answered(Box::new(answer)),
            Err(err) => AttemptOutcome::Failed(Failure { err, sent: true }),
        }
    }

    /// Waits for the head of the answer of `server`, as long as that makes sense.
    pub(super) async fn fetch_response_head<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Arc<Server>,
        tries: &mut Attempts,
        last_event: Option<u64>,
    ) -> std::result::Result<Exchange, Failure> {
        let now = cx.clock.now();
        let time_left = self.time_left(now);
        let passing = ForwardParams {
            server,
            team: self.state.team.as_ref(),
            time_left,
            last_event,
            prompt_source: tries.prompt_from,
        };
        let exchange = cx.exchange(&self.template, server, &passing);
        tokio::pin!(exchange);
        for patience in self.patience(tries) {
            if time_left.is_some_and(|time_left| patience >= time_left) {
                break;
            }
            let rest = (now + patience).since(cx.clock.now());
            if let Ok(head) = tokio::time::timeout(rest, &mut exchange).await {
                return head;
            }
            let at = cx.clock.now();
            let unheard = cx
                .health
                .silent_for(server.key(), at)
                .is_none_or(|silent| silent >= patience);
            let late = patience >= self.state.goal.mul_f64(LATE_GOAL_FACTOR);
            if (unheard || late) && self.has_other(cx, tries, at) && self.spend_retry(cx, at) {
                if unheard {
                    cx.health.record(server.key(), Observation::Unreachable, at);
                }
                tries.prepaid = true;
                let err = Error::may_have_run(Category::Timeout, "the server is silent");
                return Err(Failure { err, sent: true });
            }
        }
        let rest = self.time_left(cx.clock.now()).unwrap_or(Duration::MAX);
        match tokio::time::timeout(rest, exchange).await {
            Ok(head) => head,
            Err(_) => {
                let err = Error::may_have_run(Category::Timeout, "no answer in time");
                Err(Failure { err, sent: true })
            }
        }
    }

    /// Returns the times after which a silent server may be given up for another one.
    fn patience(&self, tries: &Attempts) -> Vec<Duration> {
        if !self.state.kind.allows_rerun() || tries.sent_count + 1 >= self.state.max_attempts {
            return Vec::new();
        }
        let goal = self.state.goal;
        match self.state.kind {
            RouteKind::Stream { .. } => vec![
                goal.mul_f64(SILENT_GOAL_FACTOR),
                goal.mul_f64(LATE_GOAL_FACTOR),
            ],
            _ => vec![goal.mul_f64(PLAIN_GOAL_FACTOR)],
        }
    }

    fn has_other<W: Wire>(&self, cx: &Forwarder<W>, tries: &Attempts, now: Instant) -> bool {
        let stage = &self.state;
        cx.choose(
            &stage.pool,
            stage.settings,
            stage.prompt.as_ref(),
            &tries.tried,
            now,
        )
        .is_some()
    }

    /// Spends one retry of the fleet's budget.
    pub(super) fn spend_retry<W: Wire>(&self, cx: &Forwarder<W>, now: Instant) -> bool {
        let allowance = cx.policy().retries;
        let routers = cx.presence.fleet_size();
        let granted = cx.retries.spend(&self.state.pool, &allowance, routers, now);
        cx.traffic.count_retry(granted);
        granted
    }

    /// Returns whether the request may be sent once more after a server's answer or silence.
    fn may_try_again<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        tries: &mut Attempts,
        last: Verdict,
    ) -> bool {
        let repeatable = last == Verdict::NotRun || self.state.kind.allows_rerun();
        if !repeatable || tries.sent_count >= self.state.max_attempts {
            return false;
        }
        let now = cx.clock.now();
        let prepaid = std::mem::take(&mut tries.prepaid);
        self.has_other(cx, tries, now) && (prepaid || self.spend_retry(cx, now))
    }

    fn nothing_left<W: Wire>(&self, cx: &Forwarder<W>, tries: &Attempts) -> Error {
        let message = "no server of the pool takes requests";
        let err = cx.retry_later_error(Category::Unavailable, message, RETRY_AFTER_MEAN);
        err.with_verdict_at_least(tries.verdict)
    }

    fn given_up<W: Wire>(&self, cx: &Forwarder<W>, err: Error, tries: &Attempts) -> Error {
        let err = err.with_verdict_at_least(tries.verdict);
        match err.verdict() {
            Verdict::NotRun => err.with_retry_after(cx.jittered_delay(RETRY_AFTER_MEAN)),
            _ => err,
        }
    }

    fn pass_on<W: Wire>(&self, cx: &Forwarder<W>, answer: BufferedResponse) -> Response<Body> {
        let BufferedResponse { mut exchange, body } = answer;
        let headers = cx
            .wire
            .response_headers(std::mem::take(&mut exchange.headers));
        let mut answer = Response::new(whole(body));
        *answer.status_mut() = exchange.status;
        *answer.headers_mut() = headers;
        let now = cx.clock.now();
        cx.poison_requests.record_success(self.state.fingerprint);
        cx.traffic.observe_answer(now.since(self.arrived));
        cx.release_connection(exchange, now);
        answer
    }
}
