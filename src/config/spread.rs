//! Which engines of a pool carry which versions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ConfigState;
use crate::{membership::Engine, EngineName, PoolName, TeamName, VersionName};

/// Versions by engine; an engine that is not named carries all versions of its pool.
pub type Assignment = BTreeMap<EngineName, BTreeSet<VersionName>>;

/// The versions of a pool, spread over its engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAssignment {
    /// What engines carry now, by which requests are placed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub current: Assignment,
    /// What they are to carry once all of them have it ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Assignment>,
}

impl PoolAssignment {
    /// Returns whether `engine` carries `version` now.
    pub fn is_assigned(&self, engine: &EngineName, version: &VersionName) -> bool {
        let versions = self.current.get(engine);
        versions.is_none_or(|versions| versions.contains(version))
    }

    /// Returns what the engines are to carry.
    pub fn wanted(&self) -> &Assignment {
        self.next.as_ref().unwrap_or(&self.current)
    }
}

impl ConfigState {
    /// Returns whether requests for `version` may go to `engine` of `pool`.
    pub fn is_assigned(&self, pool: &PoolName, engine: &EngineName, version: &VersionName) -> bool {
        let spread = self.spreads.get(pool);
        spread.is_none_or(|spread| spread.is_assigned(engine, version))
    }

    /// Returns whether requests of `team` may go to `engine`.
    pub fn serves(&self, team: &TeamName, engine: &Engine) -> bool {
        let Some(spread) = self.spreads.get(&engine.pool) else {
            return true;
        };
        let version = self.teams.get(team).and_then(|team| team.version.as_ref());
        version.is_none_or(|version| spread.is_assigned(&engine.name, version))
    }

    /// Wants the versions of `pool` to be spread so.
    pub(super) fn set_target_assignment(&mut self, pool: &PoolName, engines: &Assignment) {
        let spread = self.spreads.entry(pool.clone()).or_default();
        spread.next = (*engines != spread.current).then(|| engines.clone());
        self.drop_empty_spread(pool);
    }

    /// Has every engine of `pool` carry `version`, which was not loaded there.
    pub(super) fn assign_to_all_engines(&mut self, pool: &PoolName, version: &VersionName) {
        let Some(spread) = self.spreads.get_mut(pool) else {
            return;
        };
        let next = spread.next.iter_mut().flat_map(|next| next.values_mut());
        for versions in spread.current.values_mut().chain(next) {
            versions.insert(version.clone());
        }
    }

    fn drop_empty_spread(&mut self, pool: &PoolName) {
        let is_empty = |spread: &PoolAssignment| spread.current.is_empty() && spread.next.is_none();
        if self.spreads.get(pool).is_some_and(is_empty) {
            self.spreads.remove(pool);
        }
    }

    /// The engines of a pool have ready what they are to carry.
    pub(super) fn complete_rebalance(&mut self, pool: &PoolName) -> Option<String> {
        let spread = self.spreads.get_mut(pool)?;
        spread.current = spread.next.take()?;
        self.drop_empty_spread(pool);
        Some(format!("pool {pool} is rebalanced"))
    }
}
