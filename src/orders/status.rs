//! How far the moves are that the configuration holds.

use serde::Serialize;

use crate::{
    config::{ConfigState, LoadFailure},
    Offset, PoolName, TeamName, VersionName,
};

/// A team on its way to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MoveStatus {
    /// Name of the team.
    pub team: TeamName,
    /// Version that serves it now, if it has one.
    pub from: Option<VersionName>,
    /// Version that is to serve it.
    pub to: VersionName,
    /// Offset of the change that began the move.
    pub since: Offset,
    /// Pools whose engines have the version ready.
    pub ready: Vec<PoolName>,
    /// Pools whose engines do not have it ready yet.
    pub waiting: Vec<PoolName>,
}

/// A version that a pool could not load, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadFailureStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// What could not be loaded.
    pub version: VersionName,
    /// Where and why.
    #[serde(flatten)]
    pub failure: LoadFailure,
}

/// Returns the moves that are under way.
pub fn moves(state: &ConfigState) -> Vec<MoveStatus> {
    let status = |(team, moving): (&TeamName, &crate::config::Move)| {
        let pools = state.required_pools(moving).cloned();
        let (ready, waiting) = pools.partition(|pool| moving.ready.contains(pool));
        MoveStatus {
            team: team.clone(),
            from: state.teams.get(team).and_then(|team| team.version.clone()),
            to: moving.to.clone(),
            since: moving.since,
            ready,
            waiting,
        }
    };
    state.moves.iter().map(status).collect()
}

/// Returns the pools whose versions are being spread.
pub fn rebalancing(state: &ConfigState) -> Vec<PoolName> {
    let spreads = state.spreads.iter();
    let pending = spreads.filter(|(_, spread)| spread.next.is_some());
    pending.map(|(pool, _)| pool.clone()).collect()
}

/// Returns what has stopped.
pub fn load_failures(state: &ConfigState) -> Vec<LoadFailureStatus> {
    let halts = state.halts.iter().flat_map(|(pool, halts)| {
        halts.iter().map(move |(version, halt)| LoadFailureStatus {
            pool: pool.clone(),
            version: version.clone(),
            failure: halt.clone(),
        })
    });
    halts.collect()
}
