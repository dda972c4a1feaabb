//! The grants that this router holds on engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use super::{GrantId, Renewal};
use crate::{sync::lock, EngineName, Instant, RouterName};

/// Time between two renewals of the grants on an engine.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// The grants on one engine.
#[derive(Debug, Clone, Default)]
struct EngineGrants {
    grants: BTreeSet<GrantId>,
    /// Steward that last counted the grants, and the time.
    last_renewal: Option<(RouterName, Instant)>,
    /// Whether a release message may have been lost.
    release_unconfirmed: bool,
}

#[derive(Debug, Default)]
struct Inner {
    engines: BTreeMap<EngineName, EngineGrants>,
    next_id: u64,
}

/// The grants that this router holds, and the time of their last renewal at the steward.
#[derive(Debug, Default)]
pub struct HeldGrants {
    inner: Mutex<Inner>,
}

impl HeldGrants {
    /// Allocates the number of a grant on `engine` and counts the grant as held.
    ///
    /// `steward` is the router that will be asked for the grant.
    pub fn allocate(&self, engine: &EngineName, steward: &RouterName, now: Instant) -> GrantId {
        let mut inner = lock(&self.inner);
        let grant = GrantId(inner.next_id);
        inner.next_id += 1;
        let engine_grants = inner.engines.entry(engine.clone()).or_default();
        engine_grants.grants.insert(grant);
        engine_grants
            .last_renewal
            .get_or_insert_with(|| (steward.clone(), now));
        grant
    }

    /// Removes a grant; `confirmed` tells whether the steward has confirmed the release.
    pub fn remove(&self, engine: &EngineName, grant: GrantId, confirmed: bool) {
        let mut inner = lock(&self.inner);
        let Some(engine_grants) = inner.engines.get_mut(engine) else {
            return;
        };
        engine_grants.grants.remove(&grant);
        engine_grants.release_unconfirmed |= !confirmed;
        if engine_grants.grants.is_empty() && !engine_grants.release_unconfirmed {
            inner.engines.remove(engine);
        }
    }

    /// Returns the next grant number and the renewals that are due, by steward.
    ///
    /// `steward_of` returns the current steward of an engine, or `None` when there is none.
    pub fn due_renewals(
        &self,
        steward_of: impl Fn(&EngineName) -> Option<RouterName>,
        now: Instant,
    ) -> (GrantId, BTreeMap<RouterName, Vec<Renewal>>) {
        let (next_id, engines) = {
            let inner = lock(&self.inner);
            (GrantId(inner.next_id), inner.engines.clone())
        };
        let mut due = BTreeMap::<_, Vec<_>>::new();
        for (engine, engine_grants) in engines {
            let steward = steward_of(&engine).filter(|name| engine_grants.is_due(name, now));
            let Some(steward) = steward else {
                continue;
            };
            due.entry(steward).or_default().push(Renewal {
                engine,
                grants: engine_grants.grants.into_iter().collect(),
            });
        }
        (next_id, due)
    }

    /// Records that `steward` has renewed the grants on `engine` that were due at `now`.
    pub fn mark_renewed(&self, engine: &EngineName, steward: &RouterName, now: Instant) {
        let mut inner = lock(&self.inner);
        let Some(engine_grants) = inner.engines.get_mut(engine) else {
            return;
        };
        engine_grants.last_renewal = Some((steward.clone(), now));
        engine_grants.release_unconfirmed = false;
        if engine_grants.grants.is_empty() {
            inner.engines.remove(engine);
        }
    }

    /// Removes the engines that are not `listed` and have no grant.
    pub fn retain(&self, listed: impl Fn(&EngineName) -> bool) {
        let mut inner = lock(&self.inner);
        let kept =
            |name: &EngineName, grants: &EngineGrants| !grants.grants.is_empty() || listed(name);
        inner
            .engines
            .retain(|name, engine_grants| kept(name, engine_grants));
    }
}

impl EngineGrants {
    fn is_due(&self, steward: &RouterName, now: Instant) -> bool {
        let is_recent = |(name, at): &(RouterName, Instant)| {
            name == steward && now.since(*at) < RENEWAL_INTERVAL
        };
        self.release_unconfirmed || !self.last_renewal.as_ref().is_some_and(is_recent)
    }
}
