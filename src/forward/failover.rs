//! Failover of requests whose server has sent no head of a response yet.
//!
//! A server that is late may still answer. Its response is awaited until another server has sent
//! the first data of a stream, or the whole of another response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use http::StatusCode;

use super::{
    attempts::{Attempts, MAX_UNSENT_ATTEMPTS, NOT_RUN_STATUSES},
    buffered::BufferedResponse,
    exchange::{AttemptFailure, Exchange},
    ForwardParams, Forwarder, Observation, ProxyRequest, Routed, Wire,
};
use crate::{catalog::Server, routes::RouteKind, Category, Error, Instant};

/// Multiple of the response time goal after which a request is sent to another server as well if
/// its server sent this router no data at all in that time.
const SILENT_SERVER_GOAL_FACTOR: f64 = 1.5;

/// Multiple of the response time goal after which a request is sent to another server as well even
/// if its server answers other requests.
const LATE_RESPONSE_GOAL_FACTOR: f64 = 3.0;

/// Multiple of the response time goal after which a request that is not streamed is sent to another
/// server as well.
const UNSTREAMED_GOAL_FACTOR: f64 = 4.0;

impl ProxyRequest<Routed> {
    /// Sends the request to `server` and waits for the head of a response from a server that runs
    /// it.
    ///
    /// When the server exceeds a failover timeout and the retry budget allows it, the request is
    /// sent to another server as well; the first response counts. The number of servers to which the
    /// request was sent is added to `attempts`.
    pub(super) async fn fetch_response_head<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: Arc<Server>,
        attempts: &mut Attempts,
        last_event: Option<u64>,
    ) -> std::result::Result<Exchange, AttemptFailure> {
        let mut latest = server;
        let mut sent_at = cx.clock.now();
        let mut failover_timeouts = self.failover_timeouts(attempts).into_iter().peekable();
        attempts.sent_count += 1;
        let mut pending = FuturesUnordered::<BoxFuture<'_, _>>::new();
        let source = attempts.prompt_source;
        pending.push(Box::pin(self.send_to(
            cx,
            latest.clone(),
            source,
            last_event,
        )));
        loop {
            let now = cx.clock.now();
            let time_left = self.time_left(now).unwrap_or(Duration::MAX);
            let failover = failover_timeouts.peek().copied();
            let failover = failover.filter(|timeout| (sent_at + *timeout).since(now) < time_left);
            let wait = failover.map_or(time_left, |timeout| (sent_at + timeout).since(now));
            let other = match tokio::time::timeout(wait, pending.next()).await {
                Ok(Some(outcome)) => {
                    let failure = match outcome {
                        Ok(exchange) => match exchange.ensure_ran() {
                            Ok(()) if pending.is_empty() || exchange.is_prefetched => {
                                return Ok(exchange);
                            }
                            Ok(()) if !is_failure(exchange.status) => {
                                pending.push(Box::pin(self.prefetch(cx, exchange)));
                                continue;
                            }
                            checked => AttemptFailure {
                                server: exchange.server.clone(),
                                err: checked.err().unwrap_or_else(|| {
                                    let message =
                                        format!("the server answered {}", exchange.status);
                                    Error::may_have_run(Category::Backend, message)
                                }),
                                sent: true,
                            },
                        },
                        Err(failure) => {
                            attempts.sent_count -= u32::from(!failure.sent);
                            failure
                        }
                    };
                    if pending.is_empty() {
                        return Err(failure);
                    }
                    self.record_failure(cx, &failure, attempts);
                    self.unsent_server(cx, &failure, attempts, cx.clock.now())
                }
                Ok(None) | Err(_) => {
                    let Some(failover_timeout) = failover else {
                        let message = "the server sent no response in time";
                        return Err(AttemptFailure {
                            server: latest,
                            err: Error::may_have_run(Category::Timeout, message),
                            sent: true,
                        });
                    };
                    failover_timeouts.next();
                    self.failover_server(cx, &latest, failover_timeout, attempts, cx.clock.now())
                }
            };
            if let Some(other) = other {
                latest = other;
                sent_at = cx.clock.now();
                failover_timeouts = self.failover_timeouts(attempts).into_iter().peekable();
                attempts.sent_count += 1;
                let source = attempts.prompt_source;
                pending.push(Box::pin(self.send_to(
                    cx,
                    latest.clone(),
                    source,
                    last_event,
                )));
            }
        }
    }

    /// Sends the request to one server and waits for the head of its response.
    async fn send_to<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: Arc<Server>,
        prompt_source: Option<SocketAddr>,
        last_event: Option<u64>,
    ) -> std::result::Result<Exchange, AttemptFailure> {
        let params = ForwardParams {
            server: &server,
            team: self.state.rank.team.as_ref(),
            urgency: self.state.rank.urgency,
            time_left: self.time_left(cx.clock.now()),
            last_event,
            prompt_source,
        };
        cx.exchange(&self.template, &self.progress, &server, &params)
            .await
    }

    /// Reads the first data of a stream, or the whole body of another response.
    async fn prefetch<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        mut exchange: Exchange,
    ) -> std::result::Result<Exchange, AttemptFailure> {
        let server = exchange.server.clone();
        let read = if self.state.kind.is_stream() {
            let read = exchange.body.await_data().await;
            let broken = match read {
                Ok(has_data) if has_data || exchange.is_framed => None,
                Ok(_) => Some("the response ended before its first event".to_string()),
                Err(err) => Some(err.to_string()),
            };
            broken.map_or(Ok(exchange), |message| {
                let now = cx.clock.now();
                cx.health
                    .record(server.key(), Observation::Unreachable, now);
                Err(Error::may_have_run(Category::Cut, message))
            })
        } else {
            let time_left = self.time_left(cx.clock.now());
            let response = cx.buffer_response(exchange, time_left).await;
            response.map(|BufferedResponse { mut exchange, body }| {
                exchange.body.unread(body);
                exchange
            })
        };
        match read {
            Ok(mut exchange) => {
                exchange.is_prefetched = true;
                Ok(exchange)
            }
            Err(err) => Err(AttemptFailure {
                server,
                err,
                sent: true,
            }),
        }
    }

    /// Returns the server to which the request is sent as well because `server` exceeded
    /// `failover_timeout`, and records its placement there.
    fn failover_server<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        server: &Server,
        failover_timeout: Duration,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Option<Arc<Server>> {
        let is_silent = cx
            .health
            .silent_for(server.key(), now)
            .is_none_or(|silent| silent >= failover_timeout);
        let is_late = failover_timeout
            >= self
                .state
                .response_time_goal
                .mul_f64(LATE_RESPONSE_GOAL_FACTOR);
        if !is_silent && !is_late {
            return None;
        }
        if cx.check_not_poison(&self.state, now).is_err() {
            return None;
        }
        let other = self.other_server(cx, attempts, now)?;
        if !self.spend_retry(cx, now) {
            return None;
        }
        if is_silent {
            cx.health
                .record(server.key(), Observation::Unreachable, now);
        }
        log::info!(
            "request sent to another server id={} server={} late={}",
            self.id(),
            other.name,
            server.name
        );
        self.record_placement(cx, &other, attempts, now);
        Some(other)
    }

    /// Returns the server to which the request is sent in place of the one of `failure`, to which it
    /// could not be sent, and records its placement there.
    ///
    /// The retry that was spent for that one pays for this one.
    fn unsent_server<W: Wire>(
        &self,
        cx: &Forwarder<W>,
        failure: &AttemptFailure,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Option<Arc<Server>> {
        let may_send = !failure.sent
            && attempts.unsent_count < MAX_UNSENT_ATTEMPTS
            && attempts.sent_count < self.state.max_attempts;
        if !may_send || cx.check_not_poison(&self.state, now).is_err() {
            return None;
        }
        let other = self.other_server(cx, attempts, now)?;
        self.record_placement(cx, &other, attempts, now);
        Some(other)
    }

    /// Returns the times after which the request may be sent to another server as well.
    fn failover_timeouts(&self, attempts: &Attempts) -> Vec<Duration> {
        if !self.state.kind.allows_rerun() || attempts.sent_count + 1 >= self.state.max_attempts {
            return Vec::new();
        }
        let response_time_goal = self.state.response_time_goal;
        match self.state.kind {
            RouteKind::Stream { .. } => vec![
                response_time_goal.mul_f64(SILENT_SERVER_GOAL_FACTOR),
                response_time_goal.mul_f64(LATE_RESPONSE_GOAL_FACTOR),
            ],
            _ => vec![response_time_goal.mul_f64(UNSTREAMED_GOAL_FACTOR)],
        }
    }
}

/// Returns whether another server may still give the caller a better response than one with
/// `status`.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || NOT_RUN_STATUSES.contains(&status)
}
