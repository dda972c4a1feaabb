//! Decides which step of the moves of a pool its lease holder reports next.

use std::collections::BTreeMap;

use super::{decide::is_warm, DesiredState, EngineReport, StoppedMove};
use crate::{
    config::{ConfigState, LoadFailure, Move, StepOutcome, MAX_REASON_LEN},
    EngineName, PoolName, VersionName,
};

/// Minimum share of engines that must report, among those that take new work, as numerator and
/// denominator.
const MIN_REPORTING_SHARE: (usize, usize) = (3, 4);

/// Returns the next step that the configuration does not hold yet, if there is one.
///
/// `open` are the engines of the pool that take new work, and `stops` its stopped moves.
pub fn next_move_step(
    state: &ConfigState,
    pool: &PoolName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
    stops: &[StoppedMove],
) -> Option<StepOutcome> {
    let failures = state.load_failures.get(pool);
    let is_stopped =
        |version: &VersionName| failures.is_some_and(|failures| failures.contains_key(version));
    if let Some(stop) = stops.iter().find(|stop| !is_stopped(&stop.version)) {
        return Some(StepOutcome::Failed(
            stop.version.clone(),
            load_failure(stop),
        ));
    }
    let moves = state.moves.values();
    let due = moves.filter(|moving| waits_for_pool(state, moving, pool));
    let mut versions = due.map(|moving| &moving.to);
    let warm = versions.find(|version| {
        let is_assigned = |engine: &&EngineName| state.is_assigned(pool, engine, version);
        let assigned: Vec<_> = open.iter().filter(is_assigned).collect();
        are_ready(&assigned, reports, |_, report| is_warm(report, version))
    });
    if let Some(version) = warm {
        return Some(StepOutcome::Warm(version.clone()));
    }
    is_spread(state, pool, open, reports).then_some(StepOutcome::Spread)
}

/// Returns whether a step of `pool` can advance `moving`.
fn waits_for_pool(state: &ConfigState, moving: &Move, pool: &PoolName) -> bool {
    let needs_pool = state.required_pools(moving).any(|needed| needed == pool);
    needs_pool && (!moving.ready.contains(pool) || state.is_ready_to_switch(moving))
}

/// Returns whether a new assignment is pending and the engines have its versions ready.
fn is_spread(
    state: &ConfigState,
    pool: &PoolName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
) -> bool {
    let assignment = state.assignments.get(pool);
    let is_pending = assignment.is_some_and(|assignment| assignment.next.is_some());
    let Some(desired) = DesiredState::from_config(state, pool).filter(|_| is_pending) else {
        return false;
    };
    let open: Vec<_> = open.iter().collect();
    are_ready(&open, reports, |engine, report| {
        let mut versions = desired.versions_of(engine);
        versions.all(|version| is_warm(report, version))
    })
}

/// Returns whether enough of `engines` report, and all engines that report are ready.
fn are_ready(
    engines: &[&EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
    is_ready: impl Fn(&EngineName, &EngineReport) -> bool,
) -> bool {
    let reporting = engines
        .iter()
        .filter_map(|name| Some((*name, reports.get(*name)?)));
    let reporting: Vec<_> = reporting.collect();
    let (numerator, denominator) = MIN_REPORTING_SHARE;
    let are_enough =
        !reporting.is_empty() && reporting.len() * denominator >= engines.len() * numerator;
    are_enough
        && reporting
            .iter()
            .all(|(engine, report)| is_ready(engine, report))
}

fn load_failure(stop: &StoppedMove) -> LoadFailure {
    let mut reason = stop.reason.clone();
    while reason.len() > MAX_REASON_LEN {
        reason.pop();
    }
    LoadFailure {
        engine: stop.engine.clone(),
        reason,
    }
}
