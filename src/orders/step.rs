//! Which step of its moves the driver of a pool reports next.

use std::collections::BTreeMap;

use super::{decide::is_warm, Report, Stop};
use crate::{
    config::{Halt, Move, State, StepResult, MAX_REASON_LEN},
    EngineName, PoolName, VersionName,
};

/// Engines that must report, as a part of those that take new work.
const REPORTING_SHARE: (usize, usize) = (3, 4);

/// Returns the step that the configuration does not hold yet, if there is one.
///
/// `open` are the engines of the pool that take new work.
pub fn next_step(
    state: &State,
    pool: &PoolName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, Report>,
    stops: &[Stop],
) -> Option<(VersionName, StepResult)> {
    let halts = state.halts.get(pool);
    let is_halted = |version: &VersionName| halts.is_some_and(|halts| halts.contains_key(version));
    if let Some(stop) = stops.iter().find(|stop| !is_halted(&stop.version)) {
        return Some((stop.version.clone(), StepResult::Failed(halt(stop))));
    }
    let moves = state.moves.values();
    let due = moves.filter(|moving| awaits(state, moving, pool));
    let mut versions = due.map(|moving| &moving.to);
    let warm = versions.find(|version| pool_is_warm(version, open, reports))?;
    Some((warm.clone(), StepResult::Warm))
}

/// Returns whether `moving` lacks only what a step of `pool` can bring.
fn awaits(state: &State, moving: &Move, pool: &PoolName) -> bool {
    let needs_pool = state.pools_of(moving).any(|needed| needed == pool);
    needs_pool && (!moving.ready.contains(pool) || state.may_shift(moving))
}

fn pool_is_warm(
    version: &VersionName,
    open: &[EngineName],
    reports: &BTreeMap<EngineName, Report>,
) -> bool {
    let reporting: Vec<_> = open.iter().filter_map(|name| reports.get(name)).collect();
    let (part, whole) = REPORTING_SHARE;
    let are_enough = !reporting.is_empty() && reporting.len() * whole >= open.len() * part;
    are_enough && reporting.iter().all(|report| is_warm(report, version))
}

fn halt(stop: &Stop) -> Halt {
    let mut reason = stop.reason.clone();
    while reason.len() > MAX_REASON_LEN {
        reason.pop();
    }
    Halt {
        engine: stop.engine.clone(),
        reason,
    }
}
