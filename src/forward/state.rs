//! The state that all requests of a router share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use tokio::sync::{watch, Notify};

use super::{
    exchange::Exchange, health::STALL_TIMEOUT, ConnectionPool, Drain, DrainStage, HealthTracker,
    InFlight, Observation, ProxyRequest, Routed, Wire,
};
use crate::{
    admission::{
        describe_parts, Poison, RetryAllowance, ServerLimits, SharedRetries, WarmUpBounds,
        WarmUpShares,
    },
    catalog::{Server, ServerKey, ServerLoads},
    feed::Feed,
    inspect::ForwardMetrics,
    memory::Account,
    placement::{LoadBound, Prefill, Prefills, SessionAffinity, SessionKey, SharedPrompt},
    presence::{Presence, RouterPhase},
    sync::lock,
    Clock, Instant, PoolName, Result,
};

/// Forwarding settings that can be changed at run time.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Retry budget, which all routers share.
    pub retries: RetryAllowance,
    /// Load above which an engine gets no request that another engine can take.
    pub load_bound: LoadBound,
    /// Time between the shutdown signal and the kill of the process.
    pub grace: Duration,
    /// How far the requests to cold servers may exceed their limit; `None` if it does not bind.
    pub warm_up: Option<WarmUpBounds>,
}

/// Memory for callers and servers, unless it is set, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 64 << 20;

/// Forwards requests to backend servers; holds the state that all requests share.
pub struct Forwarder<W> {
    /// HTTP dialect of callers and servers.
    pub wire: W,
    /// Source of the current routes and servers.
    pub feed: Arc<Feed>,
    /// View of the other routers and the loads that they report.
    pub presence: Arc<Presence>,
    /// Clock of this router.
    pub clock: Clock,
    /// Requests that this router has in flight.
    pub in_flight: InFlight,
    /// Health of the servers, as observed by this router.
    pub health: HealthTracker,
    /// Engines that recently served each session.
    pub session_affinity: Arc<SessionAffinity>,
    /// Prefills in progress: prompts that engines are processing for the first time.
    pub prefills: Arc<Prefills>,
    /// Requests and parts of prompts that are known to crash servers.
    pub poison: Arc<Poison>,
    /// Limits on their requests that servers name.
    pub server_limits: ServerLimits,
    /// Loads that servers report.
    pub server_loads: ServerLoads,
    /// Slots at cold servers that this router has used.
    pub(super) warm_up_shares: WarmUpShares,
    /// Idle connections to servers.
    pub connections: ConnectionPool,
    /// Account of the memory for callers and servers.
    pub memory: Account,
    /// Metrics of forwarded requests.
    pub metrics: ForwardMetrics,
    /// Notified to send a digest to the other routers without delay.
    announce_signal: Arc<Notify>,
    pub(super) retries: SharedRetries,
    policy: Mutex<Policy>,
    drain: watch::Sender<Option<Drain>>,
    rng: Mutex<Pcg64Mcg>,
}

impl<W: Wire> Forwarder<W> {
    /// Creates the state; `seed` initializes the random number generator.
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
            poison: feed.poison.clone(),
            feed,
            presence,
            clock,
            in_flight: InFlight::default(),
            health: HealthTracker::default(),
            session_affinity: Arc::default(),
            prefills: Arc::default(),
            server_limits: ServerLimits::default(),
            server_loads: ServerLoads::default(),
            warm_up_shares: WarmUpShares::default(),
            connections: ConnectionPool::default(),
            memory: Account::with_limit(DEFAULT_MEMORY_BYTES),
            metrics: ForwardMetrics::new(),
            announce_signal: Arc::default(),
            retries: SharedRetries::default(),
            policy: Mutex::new(policy),
            drain: watch::Sender::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    /// Sets the signal that is notified to send a digest to the other routers without delay.
    #[must_use]
    pub fn with_announce_signal(mut self, announce_signal: Arc<Notify>) -> Self {
        self.prefills = Arc::new(Prefills::with_announce_signal(announce_signal.clone()));
        self.announce_signal = announce_signal;
        self
    }

    /// Sets the memory, in bytes, for connections of callers and for what callers and servers send.
    #[must_use]
    pub fn with_memory_limit(mut self, bytes: usize) -> Self {
        self.memory = Account::with_limit(bytes);
        self
    }

    /// Returns the settings in force.
    pub fn policy(&self) -> Policy {
        *lock(&self.policy)
    }

    /// Replaces the settings in force.
    pub fn set_policy(&self, policy: Policy) {
        *lock(&self.policy) = policy;
    }

    /// Starts to drain, or returns the drain that is already in progress.
    pub fn begin_drain(&self, now: Instant) -> Drain {
        self.feed.begin_leaving();
        let drain = Drain::new(now, self.policy().grace);
        let mut in_progress = drain;
        self.drain.send_if_modified(|current| {
            let is_new = current.is_none();
            in_progress = *current.get_or_insert(drain);
            is_new
        });
        in_progress
    }

    /// Returns the drain in progress, if any.
    pub fn drain(&self) -> Option<Drain> {
        *self.drain.borrow()
    }

    /// Waits until a drain is in progress and has come to `time`.
    pub(super) async fn drain_reaches(&self, time: fn(&Drain) -> Instant) {
        let mut drains = self.drain.subscribe();
        let drain = drains.wait_for(Option::is_some).await;
        let drain = drain.ok().and_then(|drain| *drain);
        if let Some(drain) = drain {
            tokio::time::sleep(time(&drain).since(self.clock.now())).await;
        }
    }

    /// Returns the stage of the drain at `now`.
    pub fn drain_stage(&self, now: Instant) -> DrainStage {
        self.drain()
            .map_or(DrainStage::Serving, |drain| drain.stage(now))
    }

    /// Returns the phase of this router, which tells whether callers should use it.
    pub fn phase(&self) -> RouterPhase {
        if self.drain().is_some() {
            RouterPhase::Leaving
        } else if self.feed.is_ready(self.clock.now()) {
            RouterPhase::Serving
        } else {
            RouterPhase::Starting
        }
    }

    /// Returns a random number.
    pub(super) fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Returns a random delay between 0.5 and 1.5 times `mean`.
    pub(super) fn jittered_delay(&self, mean: Duration) -> Duration {
        crate::admission::retry_delay(mean, &mut *lock(&self.rng))
    }

    /// Returns the servers that have reached the limits that they named, each with the time until
    /// it may get a request.
    pub(super) fn limit_waits(&self, now: Instant) -> BTreeMap<ServerKey, Duration> {
        if self.server_limits.is_empty() {
            return BTreeMap::new();
        }
        self.presence
            .with_limit_reports(now, |reports| self.server_limits.waits(reports, now))
    }

    /// Encodes the metrics in the OpenMetrics text format, with the gauges as of `now`.
    pub fn encode_metrics(&self, now: Instant) -> String {
        let metrics = &self.metrics;
        metrics.set_servers_set_aside("leaving", self.feed.catalog.leaving_count());
        // A server that rejects requests waits as well as one that has reached its limit.
        let paused = self.server_limits.paused_count(now);
        let limited = self.limit_waits(now).len().saturating_sub(paused);
        metrics.set_servers_set_aside("retry_after", paused);
        metrics.set_servers_set_aside("limit", limited);
        metrics.set_held(self.memory.held(), self.memory.given_up());
        let evacuated = self.feed.evacuations.in_force().len();
        metrics.evacuated_domains.set(evacuated as i64);
        let quarantined = self.poison.quarantined(now);
        let requests = quarantined.iter().filter(|q| q.request().is_some()).count();
        metrics.set_quarantined("request", requests);
        metrics.set_quarantined("prompt_parts", quarantined.len() - requests);
        metrics.set_cold_servers(self.feed.warm_ups.cold(now).len());
        metrics.encode()
    }

    /// Weighs which servers have survived beside those that crashed lately, for the next digest.
    pub fn weigh_survivors(&self, now: Instant) {
        let parts = &self.poison.parts;
        if parts.awaits_survivors() {
            let pools = self.feed.catalog.pools();
            let servers = pools.iter().flat_map(|pool| pool.iter().map(Arc::as_ref));
            parts.weigh_survivors(servers, &self.presence.loads(now), now);
        }
    }

    /// Records that a server announced in a response that it leaves, and announces it to the other
    /// routers without delay.
    pub(super) fn record_leaving(&self, server: &Server, now: Instant) {
        if self.feed.record_leaving(server.key(), now) {
            log::info!("server set aside server={} reason=leaving", server.name);
            self.announce_signal.notify_one();
        }
    }

    /// Records that the connection to a server broke while the server ran a request.
    ///
    /// `is_beginning` is whether the server may have been at the beginning of its response.
    pub(super) fn record_crash(
        &self,
        req: &ProxyRequest<Routed>,
        server: &Server,
        is_beginning: bool,
        now: Instant,
    ) {
        let fingerprint = req.state.fingerprint;
        log::info!(
            "server connection broken id={} server={} is_beginning={is_beginning} request={:016x} \
             parts={}",
            req.id(),
            server.name,
            fingerprint.0,
            describe_parts(&req.state.shared_parts)
        );
        // A poison request crashes its server at the beginning; it did not cause this crash.
        if !is_beginning {
            return;
        }
        let parts = &req.state.shared_parts;
        let is_suspect = self.poison.parts.record_crash(parts, server.key(), now);
        let is_explained = self.poison.parts.explains_crash(server.key());
        let is_new = !is_explained && self.poison.requests.record_crash(fingerprint, server, now);
        if is_new || is_suspect {
            self.announce_signal.notify_one();
        }
    }

    /// Records that a server sent part of the body of a response.
    pub(super) fn record_data(&self, exchange: &Exchange, now: Instant) {
        let key = exchange.server.key();
        let drained_at = exchange.body.drained_at();
        self.poison.parts.record_alive(key, drained_at, now);
        self.health.record(key, Observation::Progress, now);
    }

    /// Records that a server has come past the beginning of its response to a request.
    pub(super) fn record_known_good(&self, req: &ProxyRequest<Routed>, now: Instant) {
        let parts = &self.poison.parts;
        if parts.record_success(&req.state.shared_parts, now) {
            self.announce_signal.notify_one();
        }
    }

    /// Checks that a request may run, as neither it nor the parts of its prompt crash servers.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`](crate::Category::Quarantined) with the verdict "not run" when
    /// they do.
    pub(super) fn check_not_poison(&self, routed: &Routed, now: Instant) -> Result<()> {
        self.poison.requests.check(routed.fingerprint, now)?;
        self.poison.parts.check(&routed.shared_parts, now)
    }

    /// Records that a server stalled in the middle of a stream and announces it to the other
    /// routers without delay.
    ///
    /// Does nothing when the server sends data for other requests of this router, or when no other
    /// server responds either, as the cause may then be this router.
    pub(super) fn record_stall(&self, server: &Server, now: Instant) {
        let key = server.key();
        let silent = self.health.silent_for(key, now);
        let is_silent = silent.is_none_or(|silent| silent >= STALL_TIMEOUT);
        if !is_silent || !self.health.others_responsive(key, now) {
            return;
        }
        let is_new = !self.health.is_avoided(key, now);
        self.health.record(key, Observation::Stalled, now);
        if is_new {
            let silent_ms = silent.unwrap_or_default().as_millis();
            log::info!(
                "server silent within a stream server={} silent_ms={silent_ms}",
                server.name
            );
            self.announce_signal.notify_one();
        }
    }

    /// Returns the address of an engine that holds a longer prefix of the prompt than `server`.
    pub(super) fn prompt_source(
        &self,
        pool: &PoolName,
        prompt: &SharedPrompt,
        server: &Server,
        now: Instant,
    ) -> Option<SocketAddr> {
        let pool_servers = self.feed.catalog.pool(pool);
        let evacuated = self.feed.evacuations.in_force();
        let is_healthy = |key: &ServerKey| !self.health.is_avoided(*key, now);
        let find_server = |key: ServerKey| {
            let mut open = pool_servers.iter().filter(|s| s.is_open(&evacuated));
            open.find(|server| server.key() == key)
        };
        for prefix in [Some(prompt.session), prompt.common_prefix]
            .into_iter()
            .flatten()
        {
            let warm = self.session_affinity.engines(SessionKey::new(prefix), now);
            if warm.contains(&server.key()) {
                return None;
            }
            let source = warm.into_iter().filter(is_healthy).find_map(find_server);
            if let Some(source) = source {
                return Some(source.address);
            }
        }
        None
    }

    /// Records that an engine gets a prompt.
    ///
    /// Returns a guard of the engine's prefill, or `None` when the prompt is short or the engine
    /// has prefilled it or is prefilling it already.
    pub(super) fn record_prompt(
        &self,
        prompt: &SharedPrompt,
        engine: ServerKey,
        now: Instant,
    ) -> Option<Prefill> {
        let placement_key = (SessionKey::new(prompt.session), engine);
        let is_warm = self
            .session_affinity
            .engines(placement_key.0, now)
            .contains(&engine);
        let prefill = if is_warm {
            None
        } else {
            if let Some(common_prefix) = prompt.common_prefix {
                self.session_affinity
                    .record((SessionKey::new(common_prefix), engine), now);
            }
            self.prefills.begin(placement_key, prompt.tokens, now)
        };
        self.session_affinity.record(placement_key, now);
        prefill
    }
}
