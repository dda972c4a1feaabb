//! Intents: the requests of operators to change the configuration.

use serde::{Deserialize, Serialize};

use super::Manifest;
use crate::{
    config::{Op, Role},
    EngineName, PoolName, TeamName, VersionName,
};

/// A change that an operator requests, for which a plan is made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Stops new work for an engine.
    Drain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Allows new work for a drained engine.
    Undrain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Moves a team to a version.
    ///
    /// The pools that serve the team load the version, which serves the team once the engines
    /// have it ready. The old version is unloaded when no team needs it.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that serves the team after the move.
        to: VersionName,
    },
    /// Loads a version or adapter on the engines of a pool.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to load.
        version: VersionName,
    },
    /// Unloads a version or adapter from the engines of a pool.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to unload.
        version: VersionName,
    },
    /// Retries the failed loads of a pool.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Assigns the versions of a pool evenly to its engines.
    Rebalance {
        /// Name of the pool.
        pool: PoolName,
        /// Number of engines for each version; all engines when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        copies: Option<usize>,
    },
    /// Changes the role of an engine.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// New role of the engine.
        role: Role,
    },
    /// Creates, changes and removes objects.
    Apply {
        /// Objects to create, replace and remove.
        objects: Manifest,
    },
}

impl Intent {
    /// Returns the operation of an intent that consists of exactly one, independent of the state.
    pub(super) fn single_op(&self) -> Option<Op> {
        Some(match self.clone() {
            Intent::Drain { engine } => Op::Drain { engine },
            Intent::Undrain { engine } => Op::Undrain { engine },
            Intent::Load { pool, version } => Op::Load { pool, version },
            Intent::Unload { pool, version } => Op::Unload { pool, version },
            Intent::Retry { pool } => Op::Retry { pool },
            Intent::SetRole { engine, role } => Op::SetRole { engine, role },
            Intent::MoveTeam { .. } | Intent::Apply { .. } | Intent::Rebalance { .. } => {
                return None;
            }
        })
    }
}
