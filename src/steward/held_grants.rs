//! The grants that this router holds on engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use super::{GrantId, Renewal};
use crate::{sync::lock, EngineName, Instant, RouterName};

/// Time between two renewals of the grants on an engine.
const RENEW_PERIOD: Duration = Duration::from_secs(5);

/// Grants on one engine.
#[derive(Debug, Clone, Default)]
struct OnEngine {
    grants: BTreeSet<GrantId>,
    /// Steward that last counted them, and when.
    counted: Option<(RouterName, Instant)>,
    /// Whether a release may have been lost.
    unconfirmed: bool,
}

#[derive(Debug, Default)]
struct Inner {
    engines: BTreeMap<EngineName, OnEngine>,
    next: u64,
}

/// The grants that this life of the router holds, and when stewards were told of them.
#[derive(Debug, Default)]
pub struct HeldGrants {
    inner: Mutex<Inner>,
}

impl HeldGrants {
    /// Chooses the number of a grant on `engine` and counts it as held.
    ///
    /// `steward` is the router that will be asked for it.
    pub fn allocate(&self, engine: &EngineName, steward: &RouterName, now: Instant) -> GrantId {
        let mut inner = lock(&self.inner);
        let grant = GrantId(inner.next);
        inner.next += 1;
        let on_engine = inner.engines.entry(engine.clone()).or_default();
        on_engine.grants.insert(grant);
        on_engine
            .counted
            .get_or_insert_with(|| (steward.clone(), now));
        grant
    }

    /// Counts a grant as held no more; `confirmed` says that its steward knows.
    pub fn remove(&self, engine: &EngineName, grant: GrantId, confirmed: bool) {
        let mut inner = lock(&self.inner);
        let Some(on_engine) = inner.engines.get_mut(engine) else {
            return;
        };
        on_engine.grants.remove(&grant);
        on_engine.unconfirmed |= !confirmed;
        if on_engine.grants.is_empty() && !on_engine.unconfirmed {
            inner.engines.remove(engine);
        }
    }

    /// Returns what is to be told to the stewards now, by steward.
    ///
    /// `steward_of` names the present steward of an engine, `None` when there is none.
    pub fn due_renewals(
        &self,
        steward_of: impl Fn(&EngineName) -> Option<RouterName>,
        now: Instant,
    ) -> (GrantId, BTreeMap<RouterName, Vec<Renewal>>) {
        let (next, engines) = {
            let inner = lock(&self.inner);
            (GrantId(inner.next), inner.engines.clone())
        };
        let mut due = BTreeMap::<_, Vec<_>>::new();
        for (engine, on_engine) in engines {
            let steward = steward_of(&engine).filter(|name| on_engine.is_due(name, now));
            let Some(steward) = steward else {
                continue;
            };
            due.entry(steward).or_default().push(Renewal {
                engine,
                grants: on_engine.grants.into_iter().collect(),
            });
        }
        (next, due)
    }

    /// Notes that `steward` counts the grants on `engine` that were due at `now`.
    pub fn mark_renewed(&self, engine: &EngineName, steward: &RouterName, now: Instant) {
        let mut inner = lock(&self.inner);
        let Some(on_engine) = inner.engines.get_mut(engine) else {
            return;
        };
        on_engine.counted = Some((steward.clone(), now));
        on_engine.unconfirmed = false;
        if on_engine.grants.is_empty() {
            inner.engines.remove(engine);
        }
    }

    /// Forgets the engines that are not `listed` and carry no grant.
    pub fn retain(&self, listed: impl Fn(&EngineName) -> bool) {
        let mut inner = lock(&self.inner);
        let kept = |name: &EngineName, on: &OnEngine| !on.grants.is_empty() || listed(name);
        inner
            .engines
            .retain(|name, on_engine| kept(name, on_engine));
    }
}

impl OnEngine {
    fn is_due(&self, steward: &RouterName, now: Instant) -> bool {
        let fresh =
            |(name, at): &(RouterName, Instant)| name == steward && now.since(*at) < RENEW_PERIOD;
        self.unconfirmed || !self.counted.as_ref().is_some_and(fresh)
    }
}
