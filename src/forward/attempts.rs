//! Sends a request to servers until one answers it, as often as that is allowed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Response, StatusCode};

use super::{
    answer::WholeAnswer,
    exchange::{Exchange, Failure},
    stream, whole, Body, Forwarder, Note, Passing, Request, Routed, Wire,
};
use crate::{
    catalog::{Server, ServerKey},
    placement::{Prefill, SessionKey},
    routes::Repeat,
    Category, Error, Instant, Result, Verdict,
};

/// Time left below which a request is not sent any more.
const SHORTEST_LEFT: Duration = Duration::from_millis(15);

/// Longest time to read an answer, where neither the route nor the caller bounds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Most servers that accept no connection before a request is given up.
const MAX_UNSENT: u32 = 4;

/// Mean delay proposed to a caller whose request found no room.
const FULL_DELAY: Duration = Duration::from_millis(400);

/// Multiple of the goal after which a server that nothing was heard of is given up.
const SILENT_GOALS: f64 = 1.5;

/// Multiple of the goal after which a server that answers others is given up.
const LATE_GOALS: f64 = 3.0;

/// Multiple of the goal after which a plain server is given up.
const PLAIN_GOALS: f64 = 4.0;

/// Multiple of the goal, counted from its arrival, for which a request waits while its
/// prompt is read for another one; the rest is for reading it after all.
const WAIT_GOALS: f64 = 0.5;

/// Statuses that tell callers that nothing has run; a server that ran a request may send
/// them all the same.
const SAYS_NOT_RUN: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// What the servers tried so far have made of a request.
#[derive(Debug, Default)]
pub(super) struct Tries {
    pub(super) servers: Vec<ServerKey>,
    /// Servers that the request was sent to.
    pub(super) sent: u32,
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
enum Try {
    Answered(Box<WholeAnswer>),
    Streams(Box<Exchange>),
    /// The server ran the request and says that it failed.
    ServerFailed(Box<WholeAnswer>),
    Failed(Failure),
}

impl Request<Routed> {
    /// Sends the request to servers until one answers it.
    pub(super) async fn answer<W: Wire>(self, cx: &Arc<Forwarder<W>>) -> Result<Response<Body>> {
        let allowance = cx.policy().retries;
        cx.retries
            .earn(&self.stage.pool, &allowance, cx.clock.now());
        let mut tries = Tries::default();
        loop {
            let Some(server) = self.next_server(cx, &mut tries).await? else {
                return Err(self.nothing_left(cx, &tries));
            };
            match self.try_at(cx, &server, &mut tries).await {
                Try::Answered(answer) => return Ok(self.pass_on(cx, *answer)),
                Try::Streams(exchange) => {
                    return Ok(stream::pass_on(cx.clone(), self, *exchange, tries));
                }
                Try::ServerFailed(answer) => {
                    tries.verdict = tries.verdict.or(Verdict::MayHaveRun);
                    if !self.may_try_again(cx, &mut tries, Verdict::MayHaveRun) {
                        return Ok(self.pass_on(cx, *answer));
                    }
                }
                Try::Failed(failure) => {
                    log::info!(
                        "attempt failed id={} server={} sent={} error=\"{}\"",
                        self.id(),
                        server.name,
                        failure.sent,
                        failure.err
                    );
                    if failure.sent && failure.err.classify() == Category::Cut {
                        cx.note_broken(self.stage.fingerprint, &server, cx.clock.now());
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
        tries: &mut Tries,
    ) -> Result<Option<Arc<Server>>> {
        loop {
            let ended = cx.prefills.ended();
            let now = cx.clock.now();
            if self.left(now).is_some_and(|left| left < SHORTEST_LEFT) {
                return Err(Error::new(
                    Category::Timeout,
                    tries.verdict,
                    "no time is left",
                ));
            }
            let stage = &self.stage;
            let allowed = cx.crashes.check(stage.fingerprint, now);
            allowed.map_err(|err| err.with_verdict_at_least(tries.verdict))?;
            let Some(server) = cx.choose(
                &stage.pool,
                stage.settings,
                stage.prompt.as_ref(),
                &tries.servers,
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
                    self.place(cx, &server, tries, now);
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
        let prompt = self.stage.prompt.filter(|_| self.stage.settings.engines)?;
        let placed = (SessionKey::new(prompt.session), server.key());
        let until = self.arrived + self.stage.goal.mul_f64(WAIT_GOALS);
        let wait = until.since(now);
        (!wait.is_zero() && cx.prefills.is_underway(placed, now)).then_some(wait)
    }

    /// Notes that the request goes to `server` now.
    pub(super) fn place<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Server,
        tries: &mut Tries,
        now: Instant,
    ) {
        tries.servers.push(server.key());
        if let Some(prompt) = &self.stage.prompt {
            tries.prompt_from = cx.prompt_source(&self.stage.pool, prompt, server, now);
            tries.prefill = cx.note_prompt(prompt, server.key(), now);
        }
    }

    async fn try_at<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Arc<Server>,
        tries: &mut Tries,
    ) -> Try {
        let exchange = match self
            .head_from(cx, server, tries, self.head.last_event)
            .await
        {
            Ok(exchange) => exchange,
            Err(failure) => {
                tries.sent += u32::from(failure.sent);
                return Try::Failed(failure);
            }
        };
        tries.sent += 1;
        if let Err(err) = exchange.check() {
            return Try::Failed(Failure { err, sent: true });
        }
        if self.stage.repeat.is_stream() && exchange.status.is_success() {
            return Try::Streams(Box::new(exchange));
        }
        let left = self.left(cx.clock.now()).unwrap_or(ANSWER_TIMEOUT);
        match cx.read_whole(exchange, left).await {
            Ok(answer) if SAYS_NOT_RUN.contains(&answer.exchange.status) => {
                let message = format!("the server ran it and answered {}", answer.exchange.status);
                let err = Error::may_have_run(Category::Backend, message);
                Try::Failed(Failure { err, sent: true })
            }
            Ok(answer) if answer.exchange.status.is_server_error() => {
                Try::ServerFailed(Box::new(answer))
            }
            Ok(answer) => Try::Answered(Box::new(answer)),
            Err(err) => Try::Failed(Failure { err, sent: true }),
        }
    }

    /// Waits for the head of the answer of `server`, as long as that makes sense.
    pub(super) async fn head_from<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Arc<Server>,
        tries: &mut Tries,
        last_event: Option<u64>,
    ) -> std::result::Result<Exchange, Failure> {
        let now = cx.clock.now();
        let left = self.left(now);
        let passing = Passing {
            server,
            team: self.stage.team.as_ref(),
            left,
            last_event,
            prompt_from: tries.prompt_from,
        };
        let exchange = cx.exchange(&self.call, server, &passing);
        tokio::pin!(exchange);
        for patience in self.patience(tries) {
            if left.is_some_and(|left| patience >= left) {
                break;
            }
            let rest = (now + patience).since(cx.clock.now());
            if let Ok(head) = tokio::time::timeout(rest, &mut exchange).await {
                return head;
            }
            let at = cx.clock.now();
            let unheard = cx
                .health
                .silent(server.key(), at)
                .is_none_or(|silent| silent >= patience);
            let late = patience >= self.stage.goal.mul_f64(LATE_GOALS);
            if (unheard || late) && self.has_other(cx, tries, at) && self.spend(cx, at) {
                if unheard {
                    cx.health.note(server.key(), Note::Gone, at);
                }
                tries.prepaid = true;
                let err = Error::may_have_run(Category::Timeout, "the server is silent");
                return Err(Failure { err, sent: true });
            }
        }
        let rest = self.left(cx.clock.now()).unwrap_or(Duration::MAX);
        match tokio::time::timeout(rest, exchange).await {
            Ok(head) => head,
            Err(_) => {
                let err = Error::may_have_run(Category::Timeout, "no answer in time");
                Err(Failure { err, sent: true })
            }
        }
    }

    /// Returns the times after which a silent server may be given up for another one.
    fn patience(&self, tries: &Tries) -> Vec<Duration> {
        if !self.stage.repeat.allows_rerun() || tries.sent + 1 >= self.stage.attempts {
            return Vec::new();
        }
        let goal = self.stage.goal;
        match self.stage.repeat {
            Repeat::Stream { .. } => vec![goal.mul_f64(SILENT_GOALS), goal.mul_f64(LATE_GOALS)],
            _ => vec![goal.mul_f64(PLAIN_GOALS)],
        }
    }

    fn has_other<W: Wire>(&self, cx: &Forwarder<W>, tries: &Tries, now: Instant) -> bool {
        let stage = &self.stage;
        cx.choose(
            &stage.pool,
            stage.settings,
            stage.prompt.as_ref(),
            &tries.servers,
            now,
        )
        .is_some()
    }

    /// Spends one retry of the fleet's budget.
    pub(super) fn spend<W: Wire>(&self, cx: &Forwarder<W>, now: Instant) -> bool {
        let allowance = cx.policy().retries;
        let routers = cx.presence.size();
        let granted = cx.retries.spend(&self.stage.pool, &allowance, routers, now);
        cx.traffic.retried(granted);
        granted
    }

    /// Returns whether the request may be sent once more after a server's answer or silence.
    fn may_try_again<W: Wire>(&self, cx: &Forwarder<W>, tries: &mut Tries, last: Verdict) -> bool {
        let repeatable = last == Verdict::NotRun || self.stage.repeat.allows_rerun();
        if !repeatable || tries.sent >= self.stage.attempts {
            return false;
        }
        let now = cx.clock.now();
        let prepaid = std::mem::take(&mut tries.prepaid);
        self.has_other(cx, tries, now) && (prepaid || self.spend(cx, now))
    }

    fn nothing_left<W: Wire>(&self, cx: &Forwarder<W>, tries: &Tries) -> Error {
        let message = "no server of the pool takes requests";
        let err = cx.refuse_for_now(Category::Unavailable, message, FULL_DELAY);
        err.with_verdict_at_least(tries.verdict)
    }

    fn given_up<W: Wire>(&self, cx: &Forwarder<W>, err: Error, tries: &Tries) -> Error {
        let err = err.with_verdict_at_least(tries.verdict);
        match err.verdict() {
            Verdict::NotRun => err.with_retry_after(cx.spread(FULL_DELAY)),
            _ => err,
        }
    }

    fn pass_on<W: Wire>(&self, cx: &Forwarder<W>, answer: WholeAnswer) -> Response<Body> {
        let WholeAnswer { mut exchange, body } = answer;
        let headers = cx
            .wire
            .answer_headers(std::mem::take(&mut exchange.headers));
        let mut answer = Response::new(whole(body));
        *answer.status_mut() = exchange.status;
        *answer.headers_mut() = headers;
        let now = cx.clock.now();
        cx.crashes.note_whole(self.stage.fingerprint);
        cx.traffic.answered(now.since(self.arrived));
        cx.finish(exchange, now);
        answer
    }
}
