//! Snapshot of the fleet at one router, on which plans are based.

use std::collections::BTreeMap;

use crate::{
    config::ConfigState,
    membership::{PoolLoad, View},
    DomainName, EngineName, PoolName, TeamName,
};

/// Snapshot of the engines and loads that one router knows.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Engines and plain servers by name.
    pub engines: BTreeMap<EngineName, EngineView>,
    /// Load by pool, over all routers.
    pub loads: BTreeMap<PoolName, PoolLoad>,
    /// Requests in flight by team at this router alone.
    pub local_team_loads: BTreeMap<TeamName, u32>,
    /// Number of active routers, over which the requests are distributed.
    pub routers: u32,
}

/// An engine or plain server in a [`FleetView`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Pool of the engine.
    pub pool: PoolName,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Whether the engine has announced that it is leaving, and so takes no new work.
    pub is_leaving: bool,
}

impl FleetView {
    /// Creates a snapshot from the membership view and the loads that this router counts itself.
    ///
    /// `own_loads` and `local_team_loads` hold the requests in flight at this router.
    pub fn new(
        view: &View,
        own_loads: &BTreeMap<PoolName, PoolLoad>,
        local_team_loads: BTreeMap<TeamName, u32>,
    ) -> Self {
        let mut fleet = FleetView {
            local_team_loads,
            routers: view.active_routers().count() as u32,
            ..FleetView::default()
        };
        for engine in view.all_engines() {
            let seen = EngineView {
                pool: engine.pool.clone(),
                domain: engine.domain.clone(),
                is_leaving: engine.leaving,
            };
            fleet.engines.insert(engine.name.clone(), seen);
        }
        let pools = fleet.engines.values().map(|engine| &engine.pool);
        for pool in pools {
            let own = own_loads.get(pool).copied().unwrap_or_default();
            let load = fleet.loads.entry(pool.clone()).or_default();
            load.in_flight = own.in_flight + view.remote_load(pool).in_flight;
        }
        fleet
    }

    /// Returns the requests in flight on `pool`.
    pub(super) fn in_flight(&self, pool: &PoolName) -> u32 {
        self.loads.get(pool).map_or(0, |load| load.in_flight)
    }

    /// Returns the number of engines by pool that take new work under `state`.
    pub(super) fn available_engines(&self, state: &ConfigState) -> BTreeMap<&PoolName, u32> {
        let mut counts = BTreeMap::new();
        for (name, engine) in &self.engines {
            let is_available = !engine.is_leaving && !state.drained.contains(name);
            *counts.entry(&engine.pool).or_default() += u32::from(is_available);
        }
        counts
    }
}
