//! State of all stewardships of a router.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Mutex,
};

use super::{
    GrantHolder, GrantId, GrantLedger, GrantReply, HandOver, RouterGrants, Stewardship,
    StewardshipStage,
};
use crate::{
    admission::CrashRisk,
    membership::{Engine, PoolLoad},
    sync::lock,
    EngineName, Incarnation, Instant, PoolName, RouterName,
};

/// The stewardship of one incarnation of an engine.
#[derive(Debug)]
struct Entry {
    pool: PoolName,
    incarnation: Incarnation,
    /// Stage of the stewardship; `None` only during a transition, under the lock.
    stage: Option<StewardshipStage>,
    /// Whether the engine accepts no new work.
    closed: bool,
}

impl Entry {
    fn new(engine: &Engine, now: Instant) -> Self {
        let stewardship = Stewardship::new(GrantLedger::default(), now);
        Entry {
            pool: engine.pool.clone(),
            incarnation: engine.incarnation,
            stage: Some(StewardshipStage::TakingOver(stewardship)),
            closed: engine.leaving,
        }
    }

    fn stage(&self) -> &StewardshipStage {
        self.stage.as_ref().expect("a stage outside of transitions")
    }

    fn stage_mut(&mut self) -> &mut StewardshipStage {
        self.stage.as_mut().expect("a stage outside of transitions")
    }

    /// Returns whether the engine is counted here and accepts work.
    fn is_open(&self) -> bool {
        !self.closed && self.stage().is_granting()
    }

    fn load(&self) -> PoolLoad {
        PoolLoad::new(self.stage().ledger().occupied(), 1)
    }

    fn advance(&mut self, step: impl FnOnce(StewardshipStage) -> StewardshipStage) {
        self.stage = self.stage.take().map(step);
    }
}

#[derive(Debug, Default)]
struct Inner {
    entries: BTreeMap<EngineName, Entry>,
    /// Latest known incarnation of each router that has called.
    router_incarnations: HashMap<RouterName, Incarnation>,
}

impl Inner {
    /// Records the incarnation of a calling router, and expires the grants of earlier ones.
    ///
    /// Returns `false` when a later incarnation is known.
    fn record_router_incarnation(
        &mut self,
        router: &RouterName,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        let known = self
            .router_incarnations
            .get(router)
            .copied()
            .unwrap_or_default();
        if incarnation > known {
            self.router_incarnations.insert(router.clone(), incarnation);
            self.expire_holders(
                |holder| holder.router == *router && holder.incarnation < incarnation,
                now,
            );
        }
        incarnation >= known
    }

    fn expire_holders(&mut self, is_gone: impl Fn(&GrantHolder) -> bool, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.stage_mut().ledger_mut().expire_holders(&is_gone, now);
        }
    }
}

/// The stewardships of all engines that this router counts or has counted.
#[derive(Debug, Default)]
pub struct Steward {
    inner: Mutex<Inner>,
}

impl Steward {
    /// Starts to take over an engine, unless this incarnation of it is already counted here.
    ///
    /// Returns whether a takeover has begun.
    pub fn take_over(&self, engine: &Engine, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let entry = inner.entries.get_mut(&engine.name);
        match entry.filter(|entry| entry.incarnation == engine.incarnation) {
            None => {
                let entry = Entry::new(engine, now);
                inner.entries.insert(engine.name.clone(), entry);
                true
            }
            Some(entry) => {
                entry.closed = engine.leaving;
                let was_granting = entry.stage().is_granting();
                entry.advance(|stage| stage.reclaim(now));
                !was_granting && entry.stage().is_granting()
            }
        }
    }

    /// Grants a slot on `engine` when fewer than `bound` are occupied, and to at most one
    /// high-risk request at a time.
    ///
    /// A repeated call with the same holder is granted again and counted once.
    pub fn grant(
        &self,
        engine: &Engine,
        holder: GrantHolder,
        crash_risk: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        if engine.leaving {
            return GrantReply::Leaving;
        }
        let mut inner = lock(&self.inner);
        if !inner.record_router_incarnation(&holder.router, holder.incarnation, now) {
            return GrantReply::NotSteward;
        }
        let entry = inner.entries.get_mut(&engine.name);
        match entry.filter(|entry| entry.incarnation == engine.incarnation) {
            Some(entry) => entry.stage_mut().grant(holder, crash_risk, bound, now),
            None => GrantReply::NotSteward,
        }
    }

    /// Ends a grant of a router on `engine`.
    pub fn release(
        &self,
        engine: &EngineName,
        router: &RouterName,
        incarnation: Incarnation,
        grant: GrantId,
        now: Instant,
    ) {
        let holder = GrantHolder {
            router: router.clone(),
            incarnation,
            grant,
        };
        if let Some(entry) = lock(&self.inner).entries.get_mut(engine) {
            entry.stage_mut().ledger_mut().release(&holder, now);
        }
    }

    /// Sets the grants of one router on `engine`; returns whether this router counts the engine.
    pub fn renew(
        &self,
        engine: &EngineName,
        router_grants: &RouterGrants<'_>,
        now: Instant,
    ) -> bool {
        let mut inner = lock(&self.inner);
        if !inner.record_router_incarnation(router_grants.router, router_grants.incarnation, now) {
            return false;
        }
        let Some(entry) = inner.entries.get_mut(engine) else {
            return false;
        };
        entry.stage_mut().ledger_mut().renew(router_grants, now);
        entry.stage().is_granting()
    }

    /// Updates the ledger of `engine` from a load report of the same incarnation.
    pub fn record_load_report(&self, engine: &Engine, in_flight: u32, now: Instant) {
        let mut inner = lock(&self.inner);
        let entry = inner.entries.get_mut(&engine.name);
        if let Some(entry) = entry.filter(|entry| entry.incarnation == engine.incarnation) {
            entry.advance(|stage| stage.record_load_report(in_flight, now));
        }
    }

    /// Expires the grants of holders that are not live or not renewing, on all engines.
    pub fn tick(&self, is_live: impl Fn(&RouterName) -> bool, now: Instant) {
        for entry in lock(&self.inner).entries.values_mut() {
            entry.stage_mut().tick(&is_live, now);
        }
    }

    /// Hands an engine over to another router, and stops granting slots on it.
    pub fn hand_over(&self, engine: &EngineName, now: Instant) -> Option<HandOver> {
        let mut inner = lock(&self.inner);
        let entry = inner.entries.get_mut(engine)?;
        entry.advance(|stage| stage.stop_granting(now));
        let ledger = entry.stage().ledger();
        let (holders, unattributed) = ledger.hand_over();
        Some(HandOver {
            incarnation: entry.incarnation,
            holders,
            unattributed,
            complete: entry.stage().is_complete(),
        })
    }

    /// Merges the grant ledger that the previous steward hands over.
    pub fn accept_hand_over(&self, engine: &EngineName, hand_over: HandOver, now: Instant) {
        let mut inner = lock(&self.inner);
        let entry = inner.entries.get_mut(engine);
        if let Some(entry) = entry.filter(|entry| entry.incarnation == hand_over.incarnation) {
            entry.advance(|stage| stage.accept_hand_over(hand_over, now));
        }
    }

    /// Stops granting slots on `engine`, of which another router is now the steward.
    pub fn stop_granting(&self, engine: &EngineName, now: Instant) {
        if let Some(entry) = lock(&self.inner).entries.get_mut(engine) {
            entry.advance(|stage| stage.stop_granting(now));
        }
    }

    /// Removes the engines that are not `listed`.
    pub fn retain(&self, listed: impl Fn(&EngineName) -> bool) {
        lock(&self.inner).entries.retain(|name, _| listed(name));
    }

    /// Returns the load of the engines counted here that accept work, by pool.
    pub fn loads(&self) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads = BTreeMap::<_, PoolLoad>::new();
        let inner = lock(&self.inner);
        for entry in inner.entries.values().filter(|entry| entry.is_open()) {
            let load = loads.entry(entry.pool.clone()).or_default();
            load.add(entry.load());
        }
        loads
    }

    /// Returns the load of the engines of `pool` counted here that accept work.
    pub fn load(&self, pool: &PoolName) -> PoolLoad {
        let mut load = PoolLoad::default();
        let inner = lock(&self.inner);
        let open = inner.entries.values().filter(|entry| entry.is_open());
        for entry in open.filter(|entry| entry.pool == *pool) {
            load.add(entry.load());
        }
        load
    }

    /// Returns the number of occupied slots of each engine counted here.
    pub fn in_flight(&self) -> BTreeMap<EngineName, u32> {
        let inner = lock(&self.inner);
        let granting = |(_, entry): &(&EngineName, &Entry)| entry.stage().is_granting();
        let count = |(name, entry): (&EngineName, &Entry)| {
            (name.clone(), entry.stage().ledger().occupied())
        };
        inner.entries.iter().filter(granting).map(count).collect()
    }

    /// Returns the name of the stage of each stewardship, by engine.
    pub fn stages(&self) -> BTreeMap<EngineName, &'static str> {
        let inner = lock(&self.inner);
        let stage = |(name, entry): (&EngineName, &Entry)| (name.clone(), entry.stage().as_str());
        inner.entries.iter().map(stage).collect()
    }
}
