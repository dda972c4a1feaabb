//! The evacuated failure domains, shared with the requests.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use super::{
    EvacuationDelta, EvacuationRegistry, EvacuationReport, EvacuationsRead, EvacuationsVersion,
};
use crate::{feed::Position, sync::lock, DomainName, Instant};

/// The failure domains to whose servers nothing more is sent.
#[derive(Debug, Default)]
pub struct Evacuations {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    registry: EvacuationRegistry,
    /// The evacuated domains, shared with the requests that choose a server.
    in_force: Arc<BTreeSet<DomainName>>,
}

impl Evacuations {
    /// Returns the evacuated domains.
    pub fn in_force(&self) -> Arc<BTreeSet<DomainName>> {
        lock(&self.inner).in_force.clone()
    }

    /// Returns the time at which the last evacuation of `domain` ended, as far as known, or `None` if
    /// it is evacuated, never was, or ended more than 60 s ago.
    ///
    /// The servers of the domain may be cold from then on, whatever they say themselves. The time is
    /// the one at which the end was learned from the store, by this router or by one that feeds it,
    /// so it may be some seconds after the operator's request. It is unknown to a router that has
    /// learned only after the end that there was an evacuation and that no other router feeds.
    pub fn ended_at(&self, domain: &DomainName) -> Option<Instant> {
        lock(&self.inner).registry.ended_at(domain)
    }

    /// Returns the version of what is known, or the earliest one before the first read.
    pub fn version(&self) -> EvacuationsVersion {
        let inner = lock(&self.inner);
        EvacuationsVersion {
            position: inner.registry.position().unwrap_or_default(),
            domains: inner.in_force.len() as u32,
        }
    }

    /// Returns the version to announce to other routers, or `None` while no domain is evacuated and
    /// none was lately, so that nothing can be missing elsewhere.
    pub fn announced_version(&self) -> Option<EvacuationsVersion> {
        let has_any = lock(&self.inner).registry.has_any();
        has_any.then(|| self.version())
    }

    /// Applies a [read of the store](EvacuationRegistry::apply); returns what it changed.
    pub fn apply(&self, read: &EvacuationsRead, next: Position, now: Instant) -> EvacuationDelta {
        self.update(|registry| registry.apply(read, next, now))
    }

    /// Applies the [report of another router](EvacuationRegistry::receive); returns what it changed.
    pub fn receive(&self, report: &EvacuationReport, now: Instant) -> EvacuationDelta {
        self.update(|registry| registry.receive(report, now))
    }

    /// Ends [evacuations in doubt](EvacuationRegistry::settle) that are due; returns what changed.
    pub fn settle(&self, now: Instant) -> EvacuationDelta {
        self.update(|registry| registry.settle(now))
    }

    /// Returns the report for other routers, or `None` before the first read.
    pub fn report(&self, now: Instant) -> Option<EvacuationReport> {
        lock(&self.inner).registry.report(now)
    }

    fn update(
        &self,
        update: impl FnOnce(&mut EvacuationRegistry) -> EvacuationDelta,
    ) -> EvacuationDelta {
        let mut inner = lock(&self.inner);
        let delta = update(&mut inner.registry);
        if !delta.is_empty() {
            inner.in_force = Arc::new(inner.registry.in_force());
        }
        delta
    }
}
