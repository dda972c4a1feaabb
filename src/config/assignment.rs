//! Assignment of a pool's versions to its engines.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ConfigState;
use crate::{membership::Engine, EngineName, PoolName, TeamName, VersionName};

/// Versions by engine; an engine without an entry is assigned all versions of its pool.
pub type Assignment = BTreeMap<EngineName, BTreeSet<VersionName>>;

/// The current and the desired assignment of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAssignment {
    /// Assignment in force, by which requests are placed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub current: Assignment,
    /// Desired assignment, which replaces `current` once all engines have their versions ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Assignment>,
}

impl PoolAssignment {
    /// Returns whether `version` is assigned to `engine` now.
    pub fn is_assigned(&self, engine: &EngineName, version: &VersionName) -> bool {
        let versions = self.current.get(engine);
        versions.is_none_or(|versions| versions.contains(version))
    }

    /// Returns the desired assignment, or the current one when no rebalance is in progress.
    pub fn desired(&self) -> &Assignment {
        self.next.as_ref().unwrap_or(&self.current)
    }
}

impl ConfigState {
    /// Returns whether requests for `version` may go to `engine` of `pool`.
    pub fn is_assigned(&self, pool: &PoolName, engine: &EngineName, version: &VersionName) -> bool {
        let assignment = self.assignments.get(pool);
        assignment.is_none_or(|assignment| assignment.is_assigned(engine, version))
    }

    /// Returns whether requests of `team` may go to `engine`.
    pub fn may_serve_team(&self, team: &TeamName, engine: &Engine) -> bool {
        let Some(assignment) = self.assignments.get(&engine.pool) else {
            return true;
        };
        let version = self.teams.get(team).and_then(|team| team.version.as_ref());
        version.is_none_or(|version| assignment.is_assigned(&engine.name, version))
    }

    /// Sets the desired assignment of `pool`, which starts a rebalance unless it is in force.
    pub(super) fn set_target_assignment(&mut self, pool: &PoolName, engines: &Assignment) {
        let assignment = self.assignments.entry(pool.clone()).or_default();
        assignment.next = (*engines != assignment.current).then(|| engines.clone());
        self.remove_empty_assignment(pool);
    }

    /// Adds `version`, which was not loaded in `pool`, to the versions of every engine.
    pub(super) fn assign_to_all_engines(&mut self, pool: &PoolName, version: &VersionName) {
        let Some(assignment) = self.assignments.get_mut(pool) else {
            return;
        };
        let next = assignment
            .next
            .iter_mut()
            .flat_map(|next| next.values_mut());
        for versions in assignment.current.values_mut().chain(next) {
            versions.insert(version.clone());
        }
    }

    fn remove_empty_assignment(&mut self, pool: &PoolName) {
        let is_empty = |assignment: &PoolAssignment| {
            assignment.current.is_empty() && assignment.next.is_none()
        };
        if self.assignments.get(pool).is_some_and(is_empty) {
            self.assignments.remove(pool);
        }
    }

    /// Puts the desired assignment of `pool` in force.
    ///
    /// Returns a note for the decision, or `None` when no rebalance is in progress.
    pub(super) fn complete_rebalance(&mut self, pool: &PoolName) -> Option<String> {
        let assignment = self.assignments.get_mut(pool)?;
        assignment.current = assignment.next.take()?;
        self.remove_empty_assignment(pool);
        Some(format!("pool {pool} is rebalanced"))
    }
}
