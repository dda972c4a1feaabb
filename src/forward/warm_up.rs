//! The requests that this router may send to cold servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Forwarder, Wire};
use crate::{
    admission::{RateLimit, WarmUpBounds, WarmUpSlots},
    catalog::{Cold, Server, ServerKey},
    Instant,
};

impl<W: Wire> Forwarder<W> {
    /// Returns the servers among `servers` that are too cold for a request of this router, each with
    /// the time until it may get one.
    pub(super) fn cold_waits(
        &self,
        servers: &[Arc<Server>],
        now: Instant,
    ) -> BTreeMap<ServerKey, Duration> {
        let mut waits = BTreeMap::new();
        // The common case, on the path of each request.
        if self.feed.warm_ups.is_empty() {
            return waits;
        }
        self.expire_warm_ups(now);
        let cold = self.feed.warm_ups.cold(now);
        for server in servers {
            let key = server.key();
            if let Some(cold) = cold.get(&key) {
                let wait = self.cold_wait(server, *cold, now);
                waits.extend(wait.map(|wait| (key, wait)));
            }
        }
        waits
    }

    /// Returns the cold servers among `servers`, which have an open slot of this router, in order from
    /// a random one on.
    pub(super) fn cold_with_slots(&self, servers: &[Arc<Server>], now: Instant) -> Vec<ServerKey> {
        // The common case, on the path of each request.
        if self.feed.warm_ups.is_empty() {
            return Vec::new();
        }
        let cold = self.feed.warm_ups.cold(now);
        let is_cold =
            |s: &&Arc<Server>| cold.contains_key(&s.key()) && self.warm_up_limit(s).is_some();
        let cold_servers = servers.iter().filter(is_cold);
        let mut keys: Vec<_> = cold_servers.map(|server| server.key()).collect();
        if !keys.is_empty() {
            let first = self.random() % keys.len() as u64;
            keys.rotate_left(first as usize);
        }
        keys
    }

    /// Uses one of this router's slots at a server if it is cold.
    ///
    /// This has to follow the choice of the server without delay, so that no other request of this
    /// router is sent by the same slot.
    pub(super) fn use_warm_up_slot(&self, server: &Server, now: Instant) {
        if self.feed.warm_ups.is_empty() {
            return;
        }
        let key = server.key();
        let Some(cold) = self.feed.warm_ups.get(key, now) else {
            return;
        };
        let bound = self
            .warm_up_limit(server)
            .zip(self.presence.fleet_place(now));
        if let Some(((limit, bounds), place)) = bound {
            let slots = WarmUpSlots::new(key, cold, limit, bounds, place);
            self.warm_up_shares.use_slot(key, &slots, now);
        }
    }

    /// Returns the time until a cold server may get a request, or `None` if it may now.
    fn cold_wait(&self, server: &Server, cold: Cold, now: Instant) -> Option<Duration> {
        let (limit, bounds) = self.warm_up_limit(server)?;
        let key = server.key();
        let wait = match self.presence.fleet_place(now) {
            Some(place) => {
                let slots = WarmUpSlots::new(key, cold, limit, bounds, place);
                self.warm_up_shares.wait(key, &slots, now)
            }
            None => cold.warm_at.since(now),
        };
        (!wait.is_zero()).then_some(wait)
    }

    /// Returns what bounds the requests to a server while it is cold, or `None` if nothing does.
    fn warm_up_limit(&self, server: &Server) -> Option<(RateLimit, WarmUpBounds)> {
        let warm_up = self.feed.routes.current()?.warm_up(&server.pool)?;
        Some((warm_up.limit, self.policy().warm_up?))
    }

    fn expire_warm_ups(&self, now: Instant) {
        let count = self.feed.warm_ups.expire(now);
        if count > 0 {
            log::info!("servers warm count={count}");
        }
        if self.feed.warm_ups.is_empty() {
            self.warm_up_shares.clear();
        }
    }
}
