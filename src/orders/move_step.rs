//! Which step of its moves the driver of a pool reports next.

use std::collections::BTreeMap;

use super::{decide::is_warm, DesiredState, EngineReport, StoppedMove};
use crate::{
    config::{ConfigState, LoadFailure, Move, StepOutcome, MAX_REASON_LEN},
    EngineName, PoolName, VersionName,
};

/// Engines that must report, as a part of those that take new work.
const REPORTING_SHARE: (usize, usize) = (3, 4);

/// Returns the step that the configuration does not hold yet, if there is one.
///
/// `open` are the engines of the pool that take new work.
pub fn next_move_step(
    state: &ConfigState,
    pool: &PoolName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
    stops: &[StoppedMove],
) -> Option<StepOutcome> {
    let halts = state.halts.get(pool);
    let is_halted = |version: &VersionName| halts.is_some_and(|halts| halts.contains_key(version));
    if let Some(stop) = stops.iter().find(|stop| !is_halted(&stop.version)) {
        return Some(StepOutcome::Failed(stop.version.clone(), halt(stop)));
    }
    let moves = state.moves.values();
    let due = moves.filter(|moving| awaits(state, moving, pool));
    let mut versions = due.map(|moving| &moving.to);
    let warm = versions.find(|version| {
        let carries = |engine: &&EngineName| state.is_assigned(pool, engine, version);
        let carriers: Vec<_> = open.iter().filter(carries).collect();
        are_ready(&carriers, reports, |_, report| is_warm(report, version))
    });
    if let Some(version) = warm {
        return Some(StepOutcome::Warm(version.clone()));
    }
    is_spread(state, pool, open, reports).then_some(StepOutcome::Spread)
}

/// Returns whether `moving` lacks only what a step of `pool` can bring.
fn awaits(state: &ConfigState, moving: &Move, pool: &PoolName) -> bool {
    let needs_pool = state.required_pools(moving).any(|needed| needed == pool);
    needs_pool && (!moving.ready.contains(pool) || state.is_ready_to_switch(moving))
}

/// Returns whether the engines have ready what they are to carry from now on.
fn is_spread(
    state: &ConfigState,
    pool: &PoolName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
) -> bool {
    let spread = state.spreads.get(pool);
    let is_pending = spread.is_some_and(|spread| spread.next.is_some());
    let Some(wanted) = DesiredState::from_config(state, pool).filter(|_| is_pending) else {
        return false;
    };
    let open: Vec<_> = open.iter().collect();
    are_ready(&open, reports, |engine, report| {
        let mut versions = wanted.versions_of(engine);
        versions.all(|version| is_warm(report, version))
    })
}

/// Returns whether enough of `engines` report, and all that do are ready.
fn are_ready(
    engines: &[&EngineName],
    reports: &BTreeMap<EngineName, EngineReport>,
    is_ready: impl Fn(&EngineName, &EngineReport) -> bool,
) -> bool {
    let reporting = engines
        .iter()
        .filter_map(|name| Some((*name, reports.get(*name)?)));
    let reporting: Vec<_> = reporting.collect();
    let (part, whole) = REPORTING_SHARE;
    let are_enough = !reporting.is_empty() && reporting.len() * whole >= engines.len() * part;
    are_enough
        && reporting
            .iter()
            .all(|(engine, report)| is_ready(engine, report))
}

fn halt(stop: &StoppedMove) -> LoadFailure {
    let mut reason = stop.reason.clone();
    while reason.len() > MAX_REASON_LEN {
        reason.pop();
    }
    LoadFailure {
        engine: stop.engine.clone(),
        reason,
    }
}
