//! Decides the next orders of a pool from its desired state and the reports of its engines.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::{DesiredState, EngineReport, Order, Retries, VersionState};
use crate::{EngineName, Instant, Offset, VersionName};

/// A move that is stopped until an operator retries it, because a load failed too often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoppedMove {
    /// Engine on which the load failed.
    pub engine: EngineName,
    /// Version that could not be loaded.
    pub version: VersionName,
    /// Reason reported by the engine.
    pub reason: String,
}

/// Next orders of a pool, and how far its engines are from the desired state.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PoolDecision {
    /// Next order of each engine that needs one.
    pub orders: BTreeMap<EngineName, Order>,
    /// Moves that are stopped.
    pub stopped_moves: Vec<StoppedMove>,
    /// Number of engines that have not reached the desired state.
    pub engines_behind: usize,
}

/// Decides the next order of each engine of a pool under the fencing number `fence`.
///
/// An engine that checks fencing numbers and has not accepted `fence` yet first gets an order
/// that sets its role, even to the present one. From then on it refuses every order of an
/// earlier lease holder.
///
/// At most `free_loads` loads start. Versions are loaded and warmed on every engine before
/// any engine unloads one, and no version is unloaded before each router knows that it
/// serves no team. A failed load is retried as `retries` allow; until it succeeds, no other
/// engine loads its version and no engine unloads one.
pub fn decide(
    desired: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
    fence: Offset,
    mut free_loads: usize,
    retries: &Retries,
    now: Instant,
) -> PoolDecision {
    let stops = stopped_moves(desired, reports, retries);
    let failing_versions: BTreeSet<_> = desired
        .load_failures
        .keys()
        .chain(retries.failing_versions())
        .collect();
    let is_ready =
        |(engine, report): (&EngineName, &EngineReport)| is_ready(desired, engine, report);
    let all_ready = stops.is_empty() && reports.iter().all(is_ready);
    let may_unload = desired.is_known_everywhere && all_ready;
    let mut orders = BTreeMap::new();
    let mut engines_behind = 0;
    for (engine, report) in reports {
        let surplus = surplus_version(desired, engine, report);
        let may_load = |version: &VersionName| match report.versions.get(version) {
            Some(VersionState::Failed { .. }) => {
                let is_stopped = stops.iter().any(|stop| stop.version == *version);
                !is_stopped && retries.is_due(engine, version, now)
            }
            Some(_) => false,
            None => !failing_versions.contains(version),
        };
        let order = role_order(desired, engine, report, fence)
            .or_else(|| load_or_warm_order(desired, engine, report, &mut free_loads, may_load))
            .or_else(|| unload_order(surplus.filter(|_| may_unload)));
        if order.is_some() || surplus.is_some() || !is_ready((engine, report)) {
            engines_behind += 1;
        }
        orders.extend(order.map(|order| (engine.clone(), order)));
    }
    PoolDecision {
        orders,
        stopped_moves: stops,
        engines_behind,
    }
}

fn is_ready(desired: &DesiredState, engine: &EngineName, report: &EngineReport) -> bool {
    let mut versions = desired.versions_of(engine);
    versions.all(|version| is_warm(report, version))
}

fn role_order(
    desired: &DesiredState,
    engine: &EngineName,
    report: &EngineReport,
    fence: Offset,
) -> Option<Order> {
    let role = desired.role(engine);
    let is_due = report.role != role || is_unfenced(report, fence);
    is_due.then_some(Order::SetRole { role })
}

fn unload_order(version: Option<&VersionName>) -> Option<Order> {
    let version = version?.clone();
    Some(Order::Unload { version })
}

fn is_unfenced(report: &EngineReport, fence: Offset) -> bool {
    report.checks_fencing && report.fence < fence
}

/// Returns the moves that the configuration holds as stopped, and those that stop now.
fn stopped_moves(
    desired: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
    retries: &Retries,
) -> Vec<StoppedMove> {
    let stopped = desired
        .load_failures
        .iter()
        .map(|(version, failure)| StoppedMove {
            engine: failure.engine.clone(),
            version: version.clone(),
            reason: failure.reason.clone(),
        });
    let mut stops: Vec<_> = stopped.collect();
    for (engine, version, reason) in failed_loads(desired, reports) {
        if retries.is_exhausted(engine, version) && !desired.load_failures.contains_key(version) {
            stops.push(StoppedMove {
                engine: engine.clone(),
                version: version.clone(),
                reason: reason.to_string(),
            });
        }
    }
    stops
}

/// Returns the engine, the version and the reason of each failed load of a desired version.
fn failed_loads<'a>(
    desired: &'a DesiredState,
    reports: &'a BTreeMap<EngineName, EngineReport>,
) -> impl Iterator<Item = (&'a EngineName, &'a VersionName, &'a str)> {
    let states = reports.iter().flat_map(|(engine, report)| {
        let versions = report.versions.iter();
        versions.map(move |(version, state)| (engine, version, state))
    });
    let desired_states = states.filter(|(_, version, _)| desired.versions.contains(*version));
    desired_states.filter_map(|(engine, version, state)| match state {
        VersionState::Failed { reason } => Some((engine, version, reason.as_str())),
        _ => None,
    })
}

/// Returns whether an engine reports `version` as warm.
pub(super) fn is_warm(report: &EngineReport, version: &VersionName) -> bool {
    report.versions.get(version) == Some(&VersionState::Warm)
}

/// Returns a version that the engine reports but neither needs nor must keep.
fn surplus_version<'a>(
    desired: &DesiredState,
    engine: &EngineName,
    report: &'a EngineReport,
) -> Option<&'a VersionName> {
    let is_surplus = |version: &&VersionName| {
        let mut own = desired.versions_of(engine);
        !own.any(|desired| desired == *version) && !desired.must_keep(engine, version)
    };
    report.versions.keys().find(is_surplus)
}

fn load_or_warm_order(
    desired: &DesiredState,
    engine: &EngineName,
    report: &EngineReport,
    free_loads: &mut usize,
    may_load: impl Fn(&VersionName) -> bool,
) -> Option<Order> {
    for version in desired.versions_of(engine) {
        match report.versions.get(version) {
            Some(VersionState::Loaded) => {
                let version = version.clone();
                return Some(Order::Warm { version });
            }
            _ if *free_loads > 0 && may_load(version) => {
                *free_loads -= 1;
                let version = version.clone();
                return Some(Order::Load { version });
            }
            _ => {}
        }
    }
    None
}
