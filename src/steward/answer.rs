//! What a router answers as the steward of engines.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    cautious_factor, load_bound, with_waiting, GrantHolder, GrantReply, GrantRequest, LoadLimit,
    RenewReply, RenewRequest, RouterGrants, UNCACHED_LOAD_FACTOR,
};
use crate::{
    config::DEFAULT_LOAD_FACTOR,
    membership::{Peer, PoolLoad, View},
    placement, EngineName, Incarnation, PoolName, Router, RouterName,
};

/// Requests that wait for a slot of a pool, without the one that asks.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitingCounts {
    /// Those at this router.
    pub local: u32,
    /// Those at the router that asks.
    pub at_requester: u32,
}

impl Router {
    /// Returns the steward of `engine`, or `None` when it is this router.
    pub fn steward_of(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let leaving = self.membership.is_leaving();
        let view = self.membership.view();
        let me = &self.settings.name;
        let candidates = view.active_routers().filter(|name| !leaving || *name != me);
        let name = placement::rendezvous_first(engine.as_str(), candidates)?;
        view.peer(name).filter(|peer| peer.name != *me).cloned()
    }

    /// Returns the router that was the steward of `engine` before this one, as far as
    /// the ranks tell.
    pub(super) fn last_steward_of(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let names = view.peers().map(|peer| &peer.name);
        let name = placement::rendezvous_first(engine.as_str(), names)?;
        view.peer(name).cloned()
    }

    /// Returns the load bound of the engines of `pool` up to `limit`.
    pub fn bound(&self, pool: &PoolName, limit: LoadLimit, waiting: WaitingCounts) -> u32 {
        let state = self.config.current();
        let factor = state.pools.get(pool).map(|pool| pool.load_factor);
        let factor = factor.unwrap_or(DEFAULT_LOAD_FACTOR);
        let factor = match limit {
            LoadLimit::Mean => factor.min(UNCACHED_LOAD_FACTOR),
            LoadLimit::Bound => factor,
        };
        let mut own = self.steward.load(pool);
        own.waiting = waiting.local;
        let load = known_load(&self.membership.view(), pool, own);
        let load = with_waiting(load, waiting.at_requester);
        load_bound(load, cautious_factor(load, factor))
    }

    /// Returns the requests of `pool` that wait while one of `router` asks for a slot.
    fn waiting_beside(&self, router: &RouterName, asking: u32, pool: &PoolName) -> WaitingCounts {
        let is_own = *router == self.settings.name;
        // What asks leaves itself out already.
        let local = if is_own {
            asking
        } else {
            self.admission.slot_demand.count(pool)
        };
        WaitingCounts {
            local,
            at_requester: asking,
        }
    }

    /// Returns the load of the engines counted here and the requests waiting here, by pool.
    pub(crate) fn counted_loads(&self) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads = self.steward.loads();
        for (pool, waiting) in self.admission.slot_demand.counts() {
            loads.entry(pool).or_default().waiting = waiting;
        }
        loads
    }

    /// Decides a grant on an engine of which this router is the steward.
    pub fn answer_grant(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &GrantRequest,
    ) -> GrantReply {
        if self.steward_of(&req.engine).is_some() {
            return GrantReply::NotSteward;
        }
        let engine = self.membership.view().engine(&req.engine).cloned();
        let Some(engine) = engine.filter(|engine| engine.incarnation == req.incarnation) else {
            return GrantReply::NotSteward;
        };
        if self.config.current().drained.contains(&engine.name) {
            return GrantReply::Leaving;
        }
        let holder = GrantHolder {
            router: router.clone(),
            incarnation,
            grant: req.grant,
        };
        let waiting = self.waiting_beside(router, req.waiting, &engine.pool);
        let bound = self.bound(&engine.pool, req.limit, waiting);
        self.steward
            .grant(&engine, holder, req.crash_risk, bound, self.clock.now())
    }

    /// Puts the grants that a router lists on the books of this router's engines.
    pub fn answer_renewal(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &RenewRequest,
    ) -> RenewReply {
        let now = self.clock.now();
        let mut renewed = Vec::new();
        for renewal in &req.renewals {
            let held = RouterGrants {
                router,
                incarnation,
                grants: &renewal.grants,
                before: req.before,
            };
            if self.steward.renew(&renewal.engine, &held, now) {
                renewed.push(renewal.engine.clone());
            }
        }
        RenewReply { renewed }
    }
}

/// Adds up the load counted here and the load reported by other routers.
///
/// Lists of engines differ for some seconds. The load is shared by those listed here or by
/// those that are counted, whichever are more, so that the mean is not taken too high.
fn known_load(view: &View, pool: &PoolName, own: PoolLoad) -> PoolLoad {
    let mut load = view.remote_load(pool);
    load.add(own);
    load.engines = load.engines.max(view.open_engines(pool));
    load
}
