//! What the configuration wants of the engines of a pool.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::{Role, State},
    EngineName, PoolName, VersionName,
};

/// The wanted state of the engines of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Versions that each engine is to have ready.
    pub versions: BTreeSet<VersionName>,
    /// Versions that serve a team and so are not unloaded.
    pub in_use: BTreeSet<VersionName>,
    /// Roles that differ from the default.
    pub roles: BTreeMap<EngineName, Role>,
}

impl Wanted {
    /// Reads the wanted state of `pool`, or `None` for a pool without versions.
    ///
    /// A pool that has never named a version is left alone.
    pub fn from_config(state: &State, pool: &PoolName) -> Option<Self> {
        let versions = state.pools.get(pool)?.versions.clone();
        if versions.is_empty() {
            return None;
        }
        let teams = state.teams.values();
        let in_use = teams.filter_map(|team| team.version.clone()).collect();
        Some(Wanted {
            versions,
            in_use,
            roles: state.roles.clone(),
        })
    }

    /// Returns the wanted role of `engine`.
    pub fn role(&self, engine: &EngineName) -> Role {
        self.roles.get(engine).copied().unwrap_or_default()
    }
}
