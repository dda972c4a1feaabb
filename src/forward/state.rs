//! What the requests of a router share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use tokio::sync::Notify;

use super::{
    health::STALL_AFTER, ConnectionPool, Drain, DrainStage, HealthTracker, InFlight, Observation,
    PoisonRequests, Wire,
};
use crate::{
    admission::{Fingerprint, RetryAllowance, SharedRetries},
    catalog::{Server, ServerKey},
    feed::Feed,
    inspect::ForwardMetrics,
    placement::{
        self, Candidate, LoadBound, Prefill, Prefills, SessionAffinity, SessionKey, SharedPrompt,
    },
    presence::{Presence, RouterPhase},
    routes::PoolSettings,
    sync::lock,
    Clock, Instant, PoolName,
};

/// Settings of forwarding that may change while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Retry budget of the fleet.
    pub retries: RetryAllowance,
    /// Load above which an engine gets no request that can go elsewhere.
    pub bound: LoadBound,
    /// Time between the signal to end and the kill.
    pub grace: Duration,
}

/// Weight of the share of failed answers against one request in flight.
const FAILED_WEIGHT: f64 = 8.0;

/// The state that requests share.
pub struct Forwarder<W> {
    /// Reads and writes heads.
    pub wire: W,
    /// Routes and servers.
    pub feed: Arc<Feed>,
    /// The other routers.
    pub presence: Arc<Presence>,
    /// Source of the time.
    pub clock: Clock,
    /// Requests in flight here.
    pub in_flight: InFlight,
    /// What this router saw of the servers.
    pub health: HealthTracker,
    /// Engines that served sessions lately.
    pub warmth: Arc<SessionAffinity>,
    /// Prompts that engines are reading.
    pub prefills: Arc<Prefills>,
    /// Requests that crash servers.
    pub poison_requests: PoisonRequests,
    /// Connections to servers.
    pub connections: ConnectionPool,
    /// Metrics.
    pub traffic: ForwardMetrics,
    /// Fires when the other routers should be told at once.
    urgent: Arc<Notify>,
    pub(super) retries: SharedRetries,
    policy: Mutex<Policy>,
    drain: Mutex<Option<Drain>>,
    rng: Mutex<Pcg64Mcg>,
}

impl<W: Wire> Forwarder<W> {
    /// Creates the state; `seed` is the start of its random choices.
    pub fn new(
        wire: W,
        feed: Arc<Feed>,
        presence: Arc<Presence>,
        clock: Clock,
        policy: Policy,
        seed: u64,
    ) -> Self {
        Forwarder {
            wire,
            feed,
            presence,
            clock,
            in_flight: InFlight::default(),
            health: HealthTracker::default(),
            warmth: Arc::default(),
            prefills: Arc::default(),
            poison_requests: PoisonRequests::default(),
            connections: ConnectionPool::default(),
            traffic: ForwardMetrics::new(),
            urgent: Arc::default(),
            retries: SharedRetries::default(),
            policy: Mutex::new(policy),
            drain: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    /// Sets what fires when the other routers should be told at once.
    #[must_use]
    pub fn with_announce_signal(mut self, urgent: Arc<Notify>) -> Self {
        self.prefills = Arc::new(Prefills::with_announce_signal(urgent.clone()));
        self.urgent = urgent;
        self
    }

    /// Returns the settings in force.
    pub fn policy(&self) -> Policy {
        *lock(&self.policy)
    }

    /// Replaces the settings.
    pub fn set_policy(&self, policy: Policy) {
        *lock(&self.policy) = policy;
    }

    /// Starts to drain.
    pub fn begin_drain(&self, now: Instant) -> Drain {
        let drain = Drain::new(now, self.policy().grace);
        *lock(&self.drain).get_or_insert(drain)
    }

    /// Returns the drain under way.
    pub fn drain(&self) -> Option<Drain> {
        *lock(&self.drain)
    }

    /// Returns where the router stands between its start and its end.
    pub fn drain_stage(&self, now: Instant) -> DrainStage {
        self.drain()
            .map_or(DrainStage::Serving, |drain| drain.stage(now))
    }

    /// Returns whether callers should come here.
    pub fn phase(&self) -> RouterPhase {
        if self.drain().is_some() {
            RouterPhase::Leaving
        } else if self.feed.is_known() {
            RouterPhase::Serving
        } else {
            RouterPhase::Starting
        }
    }

    /// Returns a random number.
    pub(super) fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Returns a delay between half and one and a half times `mean`.
    pub(super) fn jittered_delay(&self, mean: Duration) -> Duration {
        crate::admission::retry_delay(mean, &mut *lock(&self.rng))
    }

    /// Chooses a server of `pool` that is not among `tried`.
    pub(super) fn choose(
        &self,
        pool: &PoolName,
        settings: PoolSettings,
        prompt: Option<&SharedPrompt>,
        tried: &[ServerKey],
        now: Instant,
    ) -> Option<Arc<Server>> {
        let all = self.feed.catalog.pool(pool);
        let open = |s: &&Arc<Server>| !s.leaving && !tried.contains(&s.key());
        let servers: Vec<_> = all.iter().filter(open).collect();
        let loads = self.presence.loads(now);
        let load = |key| self.in_flight.count(key) + loads.get(&key).copied().unwrap_or_default();
        let candidate = |server: &&Arc<Server>| (server.key(), load(server.key()));
        let known: BTreeMap<ServerKey, u32> = servers.iter().map(candidate).collect();
        let pending = self.prefills.pending_tokens(now);
        let mut candidates: Vec<_> = servers
            .iter()
            .map(|server| Candidate {
                server,
                load: known[&server.key()],
                avoided: self.health.is_avoided(server.key(), now),
                pending_tokens: pending.get(&server.key()).copied().unwrap_or_default(),
            })
            .collect();
        let at = match prompt.filter(|_| settings.has_engines) {
            Some(prompt) => {
                let limit = self.policy().bound.limit(known.values().copied());
                let warm = self.warmth.engines(SessionKey::new(prompt.session), now);
                placement::pick_by_session(prompt.session, &candidates, limit, &warm)
            }
            None => {
                self.weigh_failures(&mut candidates);
                let (first, second) = (self.random(), self.random());
                let small = |number| (number >> 33) as usize;
                placement::pick_by_two_choices(&candidates, small(first), small(second))
            }
        };
        at.map(|at| servers[at].clone())
    }

    /// Notes that the connection of a server broke while it ran a request.
    pub(super) fn record_crash(&self, fingerprint: Fingerprint, server: &Server, now: Instant) {
        if self.poison_requests.record_crash(fingerprint, server, now) {
            self.urgent.notify_one();
        }
    }

    /// Notes that a server is silent in the middle of a stream, unless this router hears
    /// nobody; the others are told at once.
    pub(super) fn record_stall(&self, server: &Server, now: Instant) {
        let key = server.key();
        let silent = self.health.silent_for(key, now);
        let unheard = silent.is_none_or(|silent| silent >= STALL_AFTER);
        if !unheard || !self.health.others_responsive(key, now) {
            return;
        }
        let is_news = !self.health.is_avoided(key, now);
        self.health.record(key, Observation::Stalled, now);
        if is_news {
            let silent_ms = silent.unwrap_or_default().as_millis();
            log::info!(
                "server silent within a stream server={} silent_ms={silent_ms}",
                server.name
            );
            self.urgent.notify_one();
        }
    }

    /// Returns the address of an engine that holds more of the prompt than `server` does.
    pub(super) fn prompt_source(
        &self,
        pool: &PoolName,
        prompt: &SharedPrompt,
        server: &Server,
        now: Instant,
    ) -> Option<SocketAddr> {
        let all = self.feed.catalog.pool(pool);
        let sound = |key: &ServerKey| !self.health.is_avoided(*key, now);
        let listed = |key: ServerKey| all.iter().find(|server| server.key() == key);
        for beginning in [Some(prompt.session), prompt.common].into_iter().flatten() {
            let warm = self.warmth.engines(SessionKey::new(beginning), now);
            if warm.contains(&server.key()) {
                return None;
            }
            let source = warm.into_iter().filter(sound).find_map(listed);
            if let Some(source) = source {
                return Some(source.address);
            }
        }
        None
    }

    /// Notes that an engine gets a prompt; returns its read of it, if it is the first one.
    pub(super) fn record_prompt(
        &self,
        prompt: &SharedPrompt,
        engine: ServerKey,
        now: Instant,
    ) -> Option<Prefill> {
        let placed = (SessionKey::new(prompt.session), engine);
        let is_warm = self.warmth.engines(placed.0, now).contains(&engine);
        let prefill = if is_warm {
            None
        } else {
            if let Some(common) = prompt.common {
                self.warmth.record((SessionKey::new(common), engine), now);
            }
            self.prefills.begin(placed, prompt.tokens, now)
        };
        self.warmth.record(placed, now);
        prefill
    }

    /// Makes servers that fail more often than the others look busier.
    fn weigh_failures(&self, candidates: &mut [Candidate<'_>]) {
        let shares = candidates
            .iter()
            .map(|c| self.health.failure_rate(c.server.key()));
        let shares: Vec<f64> = shares.collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        for (candidate, share) in candidates.iter_mut().zip(shares) {
            candidate.load += (share * FAILED_WEIGHT) as u32;
            candidate.avoided |= HealthTracker::is_outlier(share, mean);
        }
    }
}
