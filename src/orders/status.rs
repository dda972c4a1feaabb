//! Status of the moves that the configuration holds, for operators.

use serde::Serialize;

use crate::{
    config::{ConfigState, LoadFailure},
    Offset, PoolName, TeamName, VersionName,
};

/// Status of the move of a team to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MoveStatus {
    /// Name of the team.
    pub team: TeamName,
    /// Version that serves the team now, if it has one.
    pub from: Option<VersionName>,
    /// Version that is to serve the team.
    pub to: VersionName,
    /// Offset of the change that started the move.
    pub since: Offset,
    /// Required pools whose engines have the version ready.
    pub ready: Vec<PoolName>,
    /// Required pools whose engines do not have the version ready yet.
    pub waiting: Vec<PoolName>,
}

/// A failed load that has stopped a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LoadFailureStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// Version that could not be loaded.
    pub version: VersionName,
    /// Engine on which the load failed, and the reason.
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

/// Returns the pools that have a pending assignment of versions to engines.
pub fn rebalancing(state: &ConfigState) -> Vec<PoolName> {
    let assignments = state.assignments.iter();
    let pending = assignments.filter(|(_, assignment)| assignment.next.is_some());
    pending.map(|(pool, _)| pool.clone()).collect()
}

/// Returns the failed loads that have stopped moves.
pub fn load_failures(state: &ConfigState) -> Vec<LoadFailureStatus> {
    let failures = state.load_failures.iter().flat_map(|(pool, failures)| {
        failures
            .iter()
            .map(move |(version, failure)| LoadFailureStatus {
                pool: pool.clone(),
                version: version.clone(),
                failure: failure.clone(),
            })
    });
    failures.collect()
}
