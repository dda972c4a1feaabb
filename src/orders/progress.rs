//! What the holder of a lease knows of its pools, for operators.

use std::{collections::BTreeMap, sync::Mutex};

use serde::Serialize;

use super::{EngineReport, StoppedMove, VersionState};
use crate::{sync::lock, PoolName, VersionName};

/// How far the engines of a pool are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PoolProgress {
    /// Engines that reported.
    pub engines: usize,
    /// Engines that have not reached the wanted state.
    pub behind: usize,
    /// Engines on which each version is ready.
    pub warm: BTreeMap<VersionName, usize>,
    /// Steps that failed; their moves stand still.
    pub stops: Vec<StoppedMove>,
}

impl PoolProgress {
    /// Counts the engines of a pool by their reports.
    pub fn new<'a>(
        reports: impl Iterator<Item = &'a EngineReport>,
        behind: usize,
        stops: Vec<StoppedMove>,
    ) -> Self {
        let mut progress = PoolProgress {
            behind,
            stops,
            ..PoolProgress::default()
        };
        for report in reports {
            progress.engines += 1;
            for (version, state) in &report.versions {
                if *state == VersionState::Warm {
                    *progress.warm.entry(version.clone()).or_default() += 1;
                }
            }
        }
        progress
    }
}

/// The pools that this router drives.
#[derive(Debug, Default)]
pub struct OrderProgress {
    pools: Mutex<BTreeMap<PoolName, PoolProgress>>,
}

impl OrderProgress {
    /// Returns the progress of the pools that this router drives.
    pub fn progress(&self) -> BTreeMap<PoolName, PoolProgress> {
        lock(&self.pools).clone()
    }

    /// Records the progress of `pool`; returns whether its failed steps changed.
    pub fn record(&self, pool: &PoolName, progress: PoolProgress) -> bool {
        let mut pools = lock(&self.pools);
        let stops = progress.stops.clone();
        let old = pools.insert(pool.clone(), progress);
        old.map_or(!stops.is_empty(), |old| old.stops != stops)
    }

    /// Forgets the pools for which `gone` holds.
    pub fn forget(&self, gone: impl Fn(&PoolName) -> bool) {
        lock(&self.pools).retain(|pool, _| !gone(pool));
    }
}
