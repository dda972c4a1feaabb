//! Decisions of a router as the steward of engines, and the load bound they use.

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

/// Numbers of requests that wait for a slot in a pool, without the one being decided.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitingCounts {
    /// Requests that wait at this router.
    pub local: u32,
    /// Requests that wait at the router that asks for the slot.
    pub at_requester: u32,
}

impl Router {
    /// Returns the steward of `engine`, or `None` when it is this router.
    pub fn remote_steward(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let leaving = self.membership.is_leaving();
        let view = self.membership.view();
        let me = &self.settings.name;
        let candidates = view.active_routers().filter(|name| !leaving || *name != me);
        let name = placement::rendezvous_first(engine.as_str(), candidates)?;
        view.peer(name).filter(|peer| peer.name != *me).cloned()
    }

    /// Returns the router that was most likely the steward of `engine` before this one.
    ///
    /// This is the router that ranks first among all peers, including those that leave.
    pub(super) fn last_remote_steward(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let names = view.peers().map(|peer| &peer.name);
        let name = placement::rendezvous_first(engine.as_str(), names)?;
        view.peer(name).cloned()
    }

    /// Returns the load bound of the engines of `pool` for a slot that is wanted up to `limit`.
    pub fn bound(&self, pool: &PoolName, limit: LoadLimit, waiting: WaitingCounts) -> u32 {
        let state = self.config.current();
        let factor = state.pools.get(pool).map(|pool| pool.load_factor);
        let factor = factor.unwrap_or(DEFAULT_LOAD_FACTOR);
        let factor = match limit {
            LoadLimit::Mean => factor.min(UNCACHED_LOAD_FACTOR),
            LoadLimit::Bound => factor,
        };
        let mut local = self.steward.load(pool);
        local.waiting = waiting.local;
        let load = total_load(&self.membership.view(), pool, local);
        let load = with_waiting(load, waiting.at_requester);
        load_bound(load, cautious_factor(load, factor))
    }

    /// Returns the requests of `pool` that wait while a request at `router` asks for a slot.
    fn waiting_counts(
        &self,
        router: &RouterName,
        requester_waiting: u32,
        pool: &PoolName,
    ) -> WaitingCounts {
        let is_own = *router == self.settings.name;
        // The count sent with the request leaves out the request itself.
        let local = if is_own {
            requester_waiting
        } else {
            self.admission.slot_demand.count(pool)
        };
        WaitingCounts {
            local,
            at_requester: requester_waiting,
        }
    }

    /// Returns the load of the engines that this router counts and the requests that wait at
    /// this router, by pool.
    pub(crate) fn counted_loads(&self) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads = self.steward.loads();
        for (pool, waiting) in self.admission.slot_demand.counts() {
            loads.entry(pool).or_default().waiting = waiting;
        }
        loads
    }

    /// Decides on a grant request for an engine of which this router is the steward.
    pub fn handle_grant(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &GrantRequest,
    ) -> GrantReply {
        if self.remote_steward(&req.engine).is_some() {
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
        let waiting = self.waiting_counts(router, req.waiting, &engine.pool);
        let bound = self.bound(&engine.pool, req.limit, waiting);
        self.steward
            .grant(&engine, holder, req.crash_risk, bound, self.clock.now())
    }

    /// Renews the grants that a router lists in the ledgers of the engines counted here.
    pub fn handle_renewal(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &RenewRequest,
    ) -> RenewReply {
        let now = self.clock.now();
        let mut renewed = Vec::new();
        for renewal in &req.renewals {
            let router_grants = RouterGrants {
                router,
                incarnation,
                grants: &renewal.grants,
                before: req.before,
            };
            if self.steward.renew(&renewal.engine, &router_grants, now) {
                renewed.push(renewal.engine.clone());
            }
        }
        RenewReply { renewed }
    }
}

/// Returns the sum of the load counted here and the load reported by other routers.
///
/// The routers' lists of engines may differ for some seconds. The number of engines is the
/// larger of those listed here and those counted by any router, so that the mean load is not
/// overestimated.
fn total_load(view: &View, pool: &PoolName, local: PoolLoad) -> PoolLoad {
    let mut load = view.remote_load(pool);
    load.add(local);
    load.engines = load.engines.max(view.open_engine_count(pool));
    load
}
