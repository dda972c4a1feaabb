//! The fleet as one router sees it at the time of a plan.

use std::collections::BTreeMap;

use crate::{
    config::ConfigState,
    membership::{PoolLoad, View},
    DomainName, EngineName, PoolName, TeamName,
};

/// The fleet as one router sees it.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Engines and plain servers by name.
    pub engines: BTreeMap<EngineName, EngineView>,
    /// Load by pool, over all routers.
    pub loads: BTreeMap<PoolName, PoolLoad>,
    /// Requests in flight by team at this router alone.
    pub local_team_loads: BTreeMap<TeamName, u32>,
    /// Number of routers that share the requests.
    pub routers: u32,
}

/// An engine or plain server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its pool.
    pub pool: PoolName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes no new work by itself.
    pub leaving: bool,
}

impl FleetView {
    /// Takes the fleet from a view, and the load that this router counts itself.
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
                leaving: engine.leaving,
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
            let is_open = !engine.leaving && !state.drained.contains(name);
            *counts.entry(&engine.pool).or_default() += u32::from(is_open);
        }
        counts
    }
}
