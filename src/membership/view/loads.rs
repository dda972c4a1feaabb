//! Loads that other routers reported to this one.

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
        sum.router != self.me && self.is_aggregator(&sum.router) && self.loads.merge(sum, now)
    }

    /// Drops expired loads, and those of routers that no longer have to send them.
    ///
    /// Also determines the aggregator of this failure domain anew.
    pub(super) fn expire_loads(&mut self, now: Instant) {
        let sums = std::mem::take(&mut self.loads);
        self.loads = self.without_expired(sums, now);
        let members = self.domain_members();
        self.domain_reports
            .expire(now, |name| members.contains(name));
        self.aggregator = self.own_aggregator().map(|peer| peer.name.clone());
    }

    fn without_expired(&self, mut sums: LoadSums, now: Instant) -> LoadSums {
        sums.expire(now, |name| self.is_aggregator(name));
        sums
    }

    /// Returns whether `name` is the aggregator of its failure domain.
    fn is_aggregator(&self, name: &RouterName) -> bool {
        let domain = self.peers.get(name).map(|peer| &peer.domain);
        domain.is_some_and(|domain| self.aggregator_of(domain) == Some(name))
    }

    fn aggregator_of(&self, domain: &DomainName) -> Option<&RouterName> {
        let within = |name: &&RouterName| {
            let peer = self.peers.get(*name);
            peer.is_some_and(|peer| peer.domain == *domain)
        };
        placement::rendezvous_first(domain.as_str(), self.active_routers().filter(within))
    }

    /// Returns the active routers in the failure domain of this one, itself included.
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

    /// Returns the aggregator of this router's failure domain, or `None` if it is this router.
    ///
    /// The aggregator sums up the load that the routers of its domain count.
    pub fn own_aggregator(&self) -> Option<&Arc<Peer>> {
        let me = self.peers.get(&self.me)?;
        let name = self.aggregator_of(&me.domain)?;
        self.peers.get(name).filter(|peer| peer.name != self.me)
    }

    /// Merges the load report of a router of the domain that this one aggregates; returns
    /// whether it was later than the known one.
    pub fn apply_report(&mut self, sum: &LoadSum, now: Instant) -> bool {
        sum.router != self.me && self.domain_reports.merge(sum, now)
    }

    /// Records the load that this router last reported to its aggregator.
    pub fn set_own_reported_load(&mut self, pools: BTreeMap<PoolName, PoolLoad>) {
        self.own_reported = pools;
    }

    /// Returns the load of this failure domain: `own` plus the reports of its other routers.
    pub fn domain_load(
        &self,
        mut own: BTreeMap<PoolName, PoolLoad>,
    ) -> BTreeMap<PoolName, PoolLoad> {
        self.domain_reports.add_to(&mut own);
        own
    }

    /// Returns the load of `pool` that the other routers count, as last reported.
    ///
    /// The load of this router is subtracted where its domain's sum includes it.
    pub fn remote_load(&self, pool: &PoolName) -> PoolLoad {
        let mut total = self.loads.total(pool);
        total.add(self.domain_reports.total(pool));
        let aggregator = self.aggregator.as_ref();
        if aggregator.is_some_and(|name| self.loads.contains(name)) {
            total.subtract(self.own_reported.get(pool).copied().unwrap_or_default());
        }
        total
    }

    /// Returns the load sums of the failure domains with their present age, the youngest first.
    pub fn recent_loads(&self, now: Instant) -> Vec<LoadSum> {
        self.loads.recent(now)
    }
}
