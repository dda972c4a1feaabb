//! What an operator wants.

use serde::{Deserialize, Serialize};

use super::Manifest;
use crate::{
    config::{Op, Role},
    EngineName, PoolName, TeamName, VersionName,
};

/// What an operator wants, before anything is decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Stop new work for an engine.
    Drain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Allow new work for a drained engine.
    Undrain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Move a team to a version, which is loaded where the team is served and serves it
    /// once it is ready there; the old one goes when no team needs it.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that is to serve it.
        to: VersionName,
    },
    /// Load a version or adapter on the engines of a pool.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// What to load.
        version: VersionName,
    },
    /// Unload a version or adapter from the engines of a pool.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// What to unload.
        version: VersionName,
    },
    /// Try again what the engines of a pool could not load.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Spread the versions of a pool evenly over its engines.
    Rebalance {
        /// Name of the pool.
        pool: PoolName,
        /// Engines that are to carry each version; all of them when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        copies: Option<usize>,
    },
    /// Give an engine a role.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// Its role from now on.
        role: Role,
    },
    /// Create, change and remove objects.
    Apply {
        /// The objects.
        objects: Manifest,
    },
}

impl Intent {
    /// Returns the single operation of an intent that needs no further ones.
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
