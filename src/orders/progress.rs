//! Progress of the pools whose lease this router holds, for operators.

use std::{collections::BTreeMap, sync::Mutex};

use serde::Serialize;

use super::{EngineReport, StoppedMove, VersionState};
use crate::{sync::lock, PoolName, VersionName};

/// Progress of the engines of a pool towards the desired state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PoolProgress {
    /// Number of engines that reported.
    pub engines: usize,
    /// Number of engines that have not reached the desired state.
    #[serde(rename = "behind")]
    pub engines_behind: usize,
    /// Number of engines on which each version is warm.
    pub warm: BTreeMap<VersionName, usize>,
    /// Moves that are stopped because a load failed too often.
    #[serde(rename = "stops")]
    pub stopped_moves: Vec<StoppedMove>,
}

impl PoolProgress {
    /// Computes the progress of a pool from the reports of its engines.
    pub fn new<'a>(
        reports: impl Iterator<Item = &'a EngineReport>,
        engines_behind: usize,
        stopped_moves: Vec<StoppedMove>,
    ) -> Self {
        let mut progress = PoolProgress {
            engines_behind,
            stopped_moves,
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

/// Progress of each pool whose engines get their orders from this router.
#[derive(Debug, Default)]
pub struct OrderProgress {
    pools: Mutex<BTreeMap<PoolName, PoolProgress>>,
}

impl OrderProgress {
    /// Returns the progress of each pool whose engines get their orders from this router.
    pub fn progress(&self) -> BTreeMap<PoolName, PoolProgress> {
        lock(&self.pools).clone()
    }

    /// Records the progress of `pool`; returns whether its stopped moves changed.
    pub fn record(&self, pool: &PoolName, progress: PoolProgress) -> bool {
        let mut pools = lock(&self.pools);
        let stopped_moves = progress.stopped_moves.clone();
        let old = pools.insert(pool.clone(), progress);
        old.map_or(!stopped_moves.is_empty(), |old| {
            old.stopped_moves != stopped_moves
        })
    }

    /// Removes the pools for which `is_released` returns `true`.
    pub fn remove_pools(&self, is_released: impl Fn(&PoolName) -> bool) {
        lock(&self.pools).retain(|pool, _| !is_released(pool));
    }
}
