//! One request of a caller and the servers that may run it.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request};

use super::{
    exchange::RequestTemplate, fingerprint::fingerprint, unanswered::Progress, Forwarder,
    RequestHead, Wire,
};
use crate::{
    admission::{Fingerprint, PartKey, Rank},
    placement::SharedPrompt,
    routes::{PoolSettings, RouteKind, RouteTable},
    Category, Error, Instant, PoolName, Result, Verdict,
};

/// Smallest mean retry delay given to callers while a router starts, which takes some 50 ms.
const MIN_STARTING_DELAY: Duration = Duration::from_millis(150);

/// Largest mean retry delay given to callers while a router starts.
///
/// Callers wait for a retry for at most a third of their timeout; for requests that generate
/// long drafts, this is a few seconds.
const MAX_STARTING_DELAY: Duration = Duration::from_secs(3);

/// A request of a caller, in the state `S` of its life cycle.
pub struct ProxyRequest<S> {
    pub(super) template: RequestTemplate,
    pub(super) head: RequestHead,
    /// Time at which the request arrived.
    pub(super) arrived: Instant,
    pub(super) progress: Progress,
    pub(super) state: S,
}

/// State of a request that was read in full.
pub struct Received;

/// State of a request whose pool, limits and team are known.
pub struct Routed {
    pub(super) pool: PoolName,
    pub(super) settings: PoolSettings,
    pub(super) kind: RouteKind,
    pub(super) max_attempts: u32,
    pub(super) response_time_goal: Duration,
    /// Rank among the requests that want the same room.
    pub(super) rank: Rank,
    /// Part of the prompt shared with other requests, if the route places these together.
    pub(super) prompt: Option<SharedPrompt>,
    /// Hash that stays the same when the caller sends the request again.
    pub(super) fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    pub(super) shared_parts: Box<[PartKey]>,
}

impl ProxyRequest<Received> {
    /// Creates a request from its parts, which were read in full.
    pub(super) fn new(
        parts: request::Parts,
        body: Bytes,
        head: RequestHead,
        arrived: Instant,
        progress: Progress,
    ) -> Self {
        let template = RequestTemplate {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            attempt: head.attempt.clone(),
        };
        ProxyRequest {
            template,
            head,
            arrived,
            progress,
            state: Received,
        }
    }

    /// Finds the route of the request, and with it the pool, the team and the deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Category::NotServing`] while the routes or servers are not known or when the
    /// router shuts down before the request would end, [`Category::NotFound`] when no route
    /// matches and [`Category::Unauthorized`] when the key of a team is missing.
    pub(super) fn route<W: Wire>(
        mut self,
        cx: &Forwarder<W>,
        table: Option<&RouteTable>,
    ) -> Result<ProxyRequest<Routed>> {
        let known = table.filter(|_| cx.feed.catalog.is_known());
        let table = known.ok_or_else(|| {
            let delay = starting_delay(cx.clock.now());
            cx.retry_later_error(Category::NotServing, "the routes are not known yet", delay)
        })?;
        let host = self
            .template
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default();
        let route = table
            .find(host, self.template.uri.path())
            .ok_or_else(|| Error::not_run(Category::NotFound, "no route for this host and path"))?;
        let team = match self.head.key.as_deref() {
            _ if !table.has_teams() => None,
            Some(key) if table.team(key).is_some() => table.team(key),
            _ if route.anonymous => None,
            _ => {
                let message = "the request needs the key of a team";
                return Err(Error::not_run(Category::Unauthorized, message));
            }
        };
        let max_time = [route.timeout, self.head.timeout]
            .into_iter()
            .flatten()
            .min();
        let now = cx.clock.now();
        if cx
            .drain()
            .is_some_and(|drain| !drain.accepts(max_time, now))
        {
            return Err(cx.shutdown_error(Verdict::NotRun));
        }
        let prompt = SharedPrompt::from_parts(&self.head.prompt).filter(|_| route.sticky);
        let pool_hash = prompt.map_or_else(|| cx.random(), |prompt| prompt.session);
        let pool = route.choose_pool(pool_hash).clone();
        let rank = Rank {
            urgency: team
                .and_then(|team| team.priority)
                .unwrap_or(route.priority),
            team: team.map(|team| team.name.clone()),
            deadline: max_time.map(|max_time| self.arrived + max_time),
        };
        // Prompts may have thousands of parts, which are kept once.
        let prompt_parts = std::mem::take(&mut self.head.prompt);
        let state = Routed {
            settings: table.pool_settings(&pool),
            shared_parts: PartKey::shared_parts(&pool, &prompt_parts),
            pool,
            kind: route.kind,
            max_attempts: route.max_attempts.max(1),
            response_time_goal: route.response_time_goal,
            rank,
            prompt,
            fingerprint: fingerprint(&self.template, &self.head),
        };
        Ok(ProxyRequest {
            template: self.template,
            head: self.head,
            arrived: self.arrived,
            progress: self.progress,
            state,
        })
    }
}

impl ProxyRequest<Routed> {
    /// Returns the identifier of the request for log lines, `-` if it has none.
    pub(super) fn id(&self) -> &str {
        self.template.attempt.as_ref().map_or("-", |id| id.as_str())
    }

    /// Returns the time left until the final response is due.
    pub(super) fn time_left(&self, now: Instant) -> Option<Duration> {
        self.state.rank.deadline.map(|deadline| deadline.since(now))
    }
}

/// Returns the mean retry delay given to callers by a router that still lacks the routes at
/// `now`.
///
/// The delay grows with the time since the start: the longer the store has not answered, the
/// longer it may stay so, and callers have few retries.
fn starting_delay(now: Instant) -> Duration {
    let time_since_start = now.since(Instant::default());
    time_since_start.clamp(MIN_STARTING_DELAY, MAX_STARTING_DELAY)
}
