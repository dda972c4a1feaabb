//! Desired state of the engines of a pool, derived from the configuration.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Assignment, ConfigState, LoadFailure, PoolAssignment, Role},
    EngineName, PoolName, VersionName,
};

/// Desired state of the engines of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Versions of the pool; an engine that `engines` does not list must have all of them ready.
    pub versions: BTreeSet<VersionName>,
    /// Desired versions by engine; an engine without an entry is assigned all versions.
    pub engines: Assignment,
    /// Current assignment, by which requests are placed, and the desired one.
    pub assignment: PoolAssignment,
    /// Versions that serve a team or are the target of a move, and so are not unloaded.
    pub in_use: BTreeSet<VersionName>,
    /// Versions whose moves are stopped, with the load that failed.
    pub load_failures: BTreeMap<VersionName, LoadFailure>,
    /// Roles of engines, where they differ from the default role.
    pub roles: BTreeMap<EngineName, Role>,
    /// Whether each router that takes requests knows this state, so that no more requests
    /// arrive for a version that serves no team.
    pub is_known_everywhere: bool,
}

impl DesiredState {
    /// Derives the desired state of `pool`, or `None` for a pool without versions.
    ///
    /// The engines of a pool without versions get no orders.
    pub fn from_config(state: &ConfigState, pool: &PoolName) -> Option<Self> {
        let versions = state.pools.get(pool)?.versions.clone();
        if versions.is_empty() {
            return None;
        }
        let teams = state.teams.values();
        let current = teams.filter_map(|team| team.version.as_ref());
        let next = state.moves.values().map(|moving| &moving.to);
        let assignment = state.assignments.get(pool).cloned().unwrap_or_default();
        Some(DesiredState {
            engines: assignment.desired().clone(),
            assignment,
            versions,
            in_use: current.chain(next).cloned().collect(),
            load_failures: state.load_failures.get(pool).cloned().unwrap_or_default(),
            roles: state.roles.clone(),
            is_known_everywhere: false,
        })
    }

    /// Returns the versions that `engine` must have ready.
    pub fn versions_of(&self, engine: &EngineName) -> impl Iterator<Item = &VersionName> {
        let own = self.engines.get(engine);
        let versions = self.versions.iter();
        versions.filter(move |version| own.is_none_or(|own| own.contains(*version)))
    }

    /// Returns whether `engine` must keep `version` because it may get requests for it.
    pub fn must_keep(&self, engine: &EngineName, version: &VersionName) -> bool {
        self.in_use.contains(version) && self.assignment.is_assigned(engine, version)
    }

    /// Returns the desired role of `engine`.
    pub fn role(&self, engine: &EngineName) -> Role {
        self.roles.get(engine).copied().unwrap_or_default()
    }
}
