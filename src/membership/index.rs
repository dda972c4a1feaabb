//! Lists of engines and routers that the view derives for lookups on each request.

use std::{collections::BTreeMap, sync::Arc};

use super::{Engine, Peer};
use crate::PoolName;

/// The engines of one pool, ordered by name.
#[derive(Debug, Default)]
struct Pool {
    engines: Vec<Arc<Engine>>,
    /// Number of engines that take new work.
    open_count: u32,
}

/// The engines by pool, and the other active routers.
///
/// A router is active unless it leaves or is believed dead.
#[derive(Debug, Default)]
pub(super) struct Index {
    pools: BTreeMap<PoolName, Pool>,
    /// Other active routers, ordered by failure domain.
    active_peers: Vec<Arc<Peer>>,
}

impl Index {
    /// Replaces the engines of all pools.
    pub(super) fn set_engines<'a>(&mut self, engines: impl Iterator<Item = &'a Arc<Engine>>) {
        self.pools.clear();
        for engine in engines {
            let pool = self.pools.entry(engine.pool.clone()).or_default();
            pool.engines.push(engine.clone());
            pool.open_count += u32::from(!engine.leaving);
        }
    }

    /// Replaces the other active routers.
    pub(super) fn set_active_peers<'a>(&mut self, peers: impl Iterator<Item = &'a Arc<Peer>>) {
        self.active_peers = peers.cloned().collect();
        self.active_peers.sort_by(|a, b| a.domain.cmp(&b.domain));
    }

    /// Returns the engines of `pool`, ordered by name.
    pub(super) fn engines(&self, pool: &PoolName) -> &[Arc<Engine>] {
        self.pools.get(pool).map_or(&[], |pool| &pool.engines)
    }

    /// Returns how many engines of `pool` take new work.
    pub(super) fn open_engine_count(&self, pool: &PoolName) -> u32 {
        self.pools.get(pool).map_or(0, |pool| pool.open_count)
    }

    /// Returns the other active routers, ordered by failure domain.
    pub(super) fn active_peers(&self) -> &[Arc<Peer>] {
        &self.active_peers
    }
}
