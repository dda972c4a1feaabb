//! The loads that a view has heard of.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::View;
use crate::{
    membership::{LoadSum, LoadSums, Peer, PoolLoad},
    placement, DomainName, Instant, PoolName, RouterName,
};

impl View {
    pub(super) fn apply_load(&mut self, sum: &LoadSum, now: Instant) -> bool {
        sum.router != self.me && self.sums_up(&sum.router) && self.loads.merge(sum, now)
    }

    /// Drops the loads that are too old, and those of routers that no longer report.
    pub(super) fn age_loads(&mut self, now: Instant) {
        let sums = std::mem::take(&mut self.loads);
        self.loads = self.without_stale(sums, now);
        let members = self.domain_members();
        self.reports.expire(now, |name| members.contains(name));
        self.summing = self.own_aggregator().map(|peer| peer.name.clone());
    }

    fn without_stale(&self, mut sums: LoadSums, now: Instant) -> LoadSums {
        sums.expire(now, |name| self.sums_up(name));
        sums
    }

    /// Returns whether `name` is the router that sums up the load of its failure domain.
    fn sums_up(&self, name: &RouterName) -> bool {
        let domain = self.peers.get(name).map(|peer| &peer.domain);
        domain.is_some_and(|domain| self.summing_router(domain) == Some(name))
    }

    fn summing_router(&self, domain: &DomainName) -> Option<&RouterName> {
        let within = |name: &&RouterName| {
            let peer = self.peers.get(*name);
            peer.is_some_and(|peer| peer.domain == *domain)
        };
        placement::rendezvous_first(domain.as_str(), self.active_routers().filter(within))
    }

    /// Returns the routers on duty in the failure domain of this one, itself included.
    pub fn domain_members(&self) -> BTreeSet<RouterName> {
        let Some(me) = self.peers.get(&self.me) else {
            return BTreeSet::new();
        };
        let peers = self
            .active_routers()
            .filter_map(|name| self.peers.get(name));
        let within = peers.filter(|peer| peer.domain == me.domain);
        within.map(|peer| peer.name.clone()).collect()
    }

    /// Returns the router that sums up this domain, `None` when this router does.
    pub fn own_aggregator(&self) -> Option<&Arc<Peer>> {
        let me = self.peers.get(&self.me)?;
        let name = self.summing_router(&me.domain)?;
        self.peers.get(name).filter(|peer| peer.name != self.me)
    }

    /// Takes the report of a router whose domain this one sums up.
    pub fn apply_report(&mut self, sum: &LoadSum, now: Instant) -> bool {
        sum.router != self.me && self.reports.merge(sum, now)
    }

    /// Notes which own load has been reported for the sum of the domain.
    pub fn set_own_reported_load(&mut self, pools: BTreeMap<PoolName, PoolLoad>) {
        self.reported = pools;
    }

    /// Returns the load of this domain: `own` and what was reported.
    pub fn domain_load(
        &self,
        mut own: BTreeMap<PoolName, PoolLoad>,
    ) -> BTreeMap<PoolName, PoolLoad> {
        self.reports.add_to(&mut own);
        own
    }

    /// Returns the load of `pool` at the other routers, as last reported.
    pub fn remote_load(&self, pool: &PoolName) -> PoolLoad {
        let mut total = self.loads.total(pool);
        total.add(self.reports.total(pool));
        let summing = self.summing.as_ref();
        if summing.is_some_and(|name| self.loads.contains(name)) {
            total.subtract(self.reported.get(pool).copied().unwrap_or_default());
        }
        total
    }

    /// Returns the load sums of the failure domains as they are sent on, the youngest first.
    pub fn recent_loads(&self, now: Instant) -> Vec<LoadSum> {
        self.loads.recent(now)
    }
}
