//! What a router answers as the steward of engines.

use std::sync::Arc;

use super::{
    cautious_factor, load_bound, GrantReply, GrantRequest, Held, Holder, Limit, RenewReply,
    RenewRequest, FRESH_FACTOR,
};
use crate::{
    config::DEFAULT_LOAD_FACTOR,
    membership::{Peer, PoolLoad, View},
    placement, EngineName, Incarnation, PoolName, Router, RouterName,
};

impl Router {
    /// Returns the steward of `engine`, or `None` when it is this router.
    pub fn steward_of(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let leaving = !self.membership.is_serving() && self.membership.phase() == "leaving";
        let view = self.membership.view();
        let me = &self.settings.name;
        let candidates = view.duty_routers().filter(|name| !leaving || *name != me);
        let name = placement::first(engine.as_str(), candidates)?;
        view.peer(name).filter(|peer| peer.name != *me).cloned()
    }

    /// Returns the router that was the steward of `engine` before this one, as far as
    /// the ranks tell.
    pub(super) fn last_steward_of(&self, engine: &EngineName) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let names = view.peers().map(|peer| &peer.name);
        let name = placement::first(engine.as_str(), names)?;
        view.peer(name).cloned()
    }

    /// Returns the load bound of the engines of `pool` up to `limit`.
    pub fn bound(&self, pool: &PoolName, limit: Limit) -> u32 {
        let state = self.config.current();
        let factor = state.pools.get(pool).map(|pool| pool.load_factor);
        let factor = factor.unwrap_or(DEFAULT_LOAD_FACTOR);
        let factor = match limit {
            Limit::Mean => factor.min(FRESH_FACTOR),
            Limit::Bound => factor,
        };
        let own = self.steward.loads().get(pool).copied().unwrap_or_default();
        let load = known_load(&self.membership.view(), pool, own);
        let lowest = self.steward.lowest_load(pool, load, self.clock.now());
        load_bound(lowest, cautious_factor(lowest, factor))
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
        let holder = Holder {
            router: router.clone(),
            incarnation,
            grant: req.grant,
        };
        let bound = self.bound(&engine.pool, req.limit);
        self.steward.grant(&engine, holder, bound, self.clock.now())
    }

    /// Puts the grants that a router lists on the books of this router's engines.
    pub fn answer_renewal(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &RenewRequest,
    ) -> RenewReply {
        let now = self.clock.now();
        let mut counted = Vec::new();
        for renewal in &req.renewals {
            let held = Held {
                router,
                incarnation,
                grants: &renewal.grants,
                before: req.before,
            };
            if self.steward.renew(&renewal.engine, &held, now) {
                counted.push(renewal.engine.clone());
            }
        }
        RenewReply { counted }
    }
}

/// Adds up the load counted here and the load reported by other routers.
fn known_load(view: &View, pool: &PoolName, own: PoolLoad) -> PoolLoad {
    let open = view.engines(pool).filter(|engine| !engine.leaving);
    PoolLoad {
        in_flight: own.in_flight + view.reported_load(pool).in_flight,
        engines: open.count() as u32,
    }
}
