//! What the configuration wants of the engines of a pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Assignment, ConfigState, LoadFailure, PoolAssignment, Role},
    EngineName, PoolName, VersionName,
};

/// The wanted state of the engines of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredState {
    /// Versions that each engine is to have ready.
    pub versions: BTreeSet<VersionName>,
    /// Versions of the engines that do not carry all of them.
    pub engines: Assignment,
    /// How the versions are spread now, by which requests are placed.
    pub spread: PoolAssignment,
    /// Versions that serve a team or soon will, and so are not unloaded.
    pub in_use: BTreeSet<VersionName>,
    /// Versions whose moves have stopped.
    pub load_failures: BTreeMap<VersionName, LoadFailure>,
    /// Roles that differ from the default.
    pub roles: BTreeMap<EngineName, Role>,
    /// Whether each router that takes requests knows it, so that no request comes any more
    /// for a version that serves no team.
    pub is_known_everywhere: bool,
}

impl DesiredState {
    /// Reads the wanted state of `pool`, or `None` for a pool without versions.
    ///
    /// A pool that has never named a version is left alone.
    pub fn from_config(state: &ConfigState, pool: &PoolName) -> Option<Self> {
        let versions = state.pools.get(pool)?.versions.clone();
        if versions.is_empty() {
            return None;
        }
        let teams = state.teams.values();
        let current = teams.filter_map(|team| team.version.as_ref());
        let next = state.moves.values().map(|moving| &moving.to);
        let spread = state.spreads.get(pool).cloned().unwrap_or_default();
        Some(DesiredState {
            engines: spread.wanted().clone(),
            spread,
            versions,
            in_use: current.chain(next).cloned().collect(),
            load_failures: state.halts.get(pool).cloned().unwrap_or_default(),
            roles: state.roles.clone(),
            is_known_everywhere: false,
        })
    }

    /// Returns the versions that `engine` is to have ready.
    pub fn versions_of(&self, engine: &EngineName) -> impl Iterator<Item = &VersionName> {
        let own = self.engines.get(engine);
        let versions = self.versions.iter();
        versions.filter(move |version| own.is_none_or(|own| own.contains(*version)))
    }

    /// Returns whether `engine` may get requests for `version`, which it so keeps.
    pub fn must_keep(&self, engine: &EngineName, version: &VersionName) -> bool {
        self.in_use.contains(version) && self.spread.is_assigned(engine, version)
    }

    /// Returns the wanted role of `engine`.
    pub fn role(&self, engine: &EngineName) -> Role {
        self.roles.get(engine).copied().unwrap_or_default()
    }
}
