//! Selection of the server that runs a request.
//!
//! First sends, failover and the resumption of streams all select here, so that each of them goes by
//! the same view of the servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Forwarder, HealthTracker, Routed, Wire};
use crate::{
    catalog::{Server, ServerKey},
    placement::{self, Candidate, LoadBound, SessionKey},
    Instant,
};

/// Number of requests in flight that count as much as a failure rate of 1.
const FAILURE_RATE_WEIGHT: f64 = 8.0;

/// The selection of a server for one request.
#[derive(Clone, Copy)]
pub(super) struct Selection<'a> {
    routed: &'a Routed,
    tried: &'a [ServerKey],
}

impl<'a> Selection<'a> {
    /// Creates the selection for a request that has not been sent yet.
    pub(super) fn new(routed: &'a Routed) -> Self {
        Selection { routed, tried: &[] }
    }

    /// Leaves out the servers that the request was sent to before.
    #[must_use]
    pub(super) fn with_tried(self, tried: &'a [ServerKey]) -> Self {
        Selection { tried, ..self }
    }

    /// Chooses a server that has not reached its limit.
    ///
    /// While servers have reached their limits, the others take what these turn away as long as
    /// they have free slots. Cold servers of which this router has no slot are left out.
    pub(super) fn choose<W: Wire>(self, cx: &Forwarder<W>, now: Instant) -> Option<Arc<Server>> {
        let routed = self.routed;
        let mut servers = self.open_servers(cx);
        let share = self.open_share(cx, servers.len());
        servers.retain(|server| !self.tried.contains(&server.key()));
        let loads = loads(cx, &servers, now);
        let cold = cx.cold_waits(&servers, now);
        if !cold.is_empty() {
            cx.metrics.cold_left_out.inc();
        }
        let servers = servers.into_iter();
        let servers = servers.filter(|server| !cold.contains_key(&server.key()));
        let at_limit = cx.limit_waits(now);
        let (limited, open): (Vec<_>, Vec<_>) =
            servers.partition(|server| at_limit.contains_key(&server.key()));
        let mut candidates = candidates(cx, &open, &loads, now);
        if let Some(over_mean) = placement::busiest_over_mean(&candidates) {
            cx.metrics.observe_busiest(over_mean);
        }
        let index = match routed
            .prompt
            .as_ref()
            .filter(|_| routed.settings.has_engines)
        {
            Some(prompt) => {
                let bound = cx.policy().load_bound;
                let bound = bound.with_open_share(share);
                let mut limit = bound.limit(loads.values().copied());
                if share < 1.0 || !cold.is_empty() {
                    let open_loads = open.iter().map(|server| loads[&server.key()]);
                    limit = limit.min(LoadBound::EVEN.limit(open_loads));
                }
                let mut warm = cx
                    .session_affinity
                    .engines(SessionKey::new(prompt.session), now);
                // A slot lapses, and a session that has to move may as well use it.
                warm.extend(cx.cold_with_slots(&open, now));
                placement::pick_by_session(prompt.session, &candidates, limit, &warm)
            }
            None => {
                apply_failure_rates(cx, &mut candidates);
                let (first, second) = (cx.random(), cx.random());
                let to_index = |number| (number >> 33) as usize;
                placement::pick_by_two_choices(&candidates, to_index(first), to_index(second))
            }
        };
        let server = &open[index?];
        let has_free_slot = loads[&server.key()] < server.slots;
        (limited.is_empty() || has_free_slot).then(|| server.clone())
    }

    /// Returns the time until the first server of the pool may get a request, or `None` if one may get
    /// it now or there is none.
    pub(super) fn limit_wait<W: Wire>(self, cx: &Forwarder<W>, now: Instant) -> Option<Duration> {
        let waits = cx.limit_waits(now);
        let open = self.open_servers(cx);
        let cold = cx.cold_waits(&open, now);
        let wait = |key| waits.get(&key).max(cold.get(&key)).copied();
        let waits: Option<Vec<_>> = open.iter().map(|server| wait(server.key())).collect();
        waits?.into_iter().min()
    }

    /// Returns the share of the pool's servers that are not in evacuated failure domains.
    ///
    /// The others count in the mean load of the pool, to which the loads of these are bound.
    fn open_share<W: Wire>(self, cx: &Forwarder<W>, open: usize) -> f64 {
        // The common case, on the path of each request.
        if cx.feed.evacuations.in_force().is_empty() {
            return 1.0;
        }
        let servers = cx.feed.catalog.pool(&self.routed.pool);
        let running = servers.iter().filter(|server| !server.leaving).count();
        open as f64 / running.max(1) as f64
    }

    /// Returns whether the pool has servers, and all are in evacuated failure domains.
    pub(super) fn is_evacuated<W: Wire>(self, cx: &Forwarder<W>) -> bool {
        let servers = cx.feed.catalog.pool(&self.routed.pool);
        let has_servers = servers.iter().any(|server| !server.leaving);
        has_servers && self.open_servers(cx).is_empty()
    }

    /// Returns the servers of the pool that take new requests: those that neither leave nor are in an
    /// evacuated failure domain.
    fn open_servers<W: Wire>(self, cx: &Forwarder<W>) -> Vec<Arc<Server>> {
        let servers = cx.feed.catalog.pool(&self.routed.pool);
        let evacuated = cx.feed.evacuations.in_force();
        let open = servers.iter().filter(|server| server.is_open(&evacuated));
        open.cloned().collect()
    }
}

/// Returns the number of requests that all routers have in flight at each of `servers`.
fn loads<W: Wire>(
    cx: &Forwarder<W>,
    servers: &[Arc<Server>],
    now: Instant,
) -> BTreeMap<ServerKey, u32> {
    let of_others = cx.presence.loads(now);
    let load = |key| {
        let of_others = of_others.get(&key).copied().unwrap_or_default();
        cx.in_flight.count(key).saturating_add(of_others)
    };
    let keys = servers.iter().map(|server| server.key());
    keys.map(|key| (key, load(key))).collect()
}

/// Describes `servers` for placement.
fn candidates<'s, W: Wire>(
    cx: &Forwarder<W>,
    servers: &'s [Arc<Server>],
    loads: &BTreeMap<ServerKey, u32>,
    now: Instant,
) -> Vec<Candidate<'s>> {
    let pending = cx.prefills.pending_tokens(now);
    let keys = servers.iter().map(|server| server.key());
    let slowness_factors = cx.server_loads.slowness_factors(keys, now);
    let candidate = |(server, slowness): (&'s Arc<Server>, f64)| Candidate {
        server,
        load: loads[&server.key()],
        slowness,
        is_avoided: cx.health.is_avoided(server.key(), now),
        pending_tokens: pending.get(&server.key()).copied().unwrap_or_default(),
    };
    servers
        .iter()
        .zip(slowness_factors)
        .map(candidate)
        .collect()
}

/// Adds the failure rates of servers to their loads and avoids those that fail far more often than
/// the others.
fn apply_failure_rates<W: Wire>(cx: &Forwarder<W>, candidates: &mut [Candidate<'_>]) {
    let rates = candidates
        .iter()
        .map(|c| cx.health.failure_rate(c.server.key()));
    let rates: Vec<f64> = rates.collect();
    let mean_rate = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    for (candidate, rate) in candidates.iter_mut().zip(rates) {
        let penalty = (rate * FAILURE_RATE_WEIGHT) as u32;
        candidate.load = candidate.load.saturating_add(penalty);
        candidate.is_avoided |= HealthTracker::is_outlier(rate, mean_rate);
    }
}
