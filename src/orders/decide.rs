//! Decides the next orders from the wanted state and the reports.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::{DesiredState, EngineReport, Order, Retries, VersionState};
use crate::{EngineName, Instant, Offset, VersionName};

/// A step that failed too often and stops its move until an operator goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoppedMove {
    /// Engine on which it failed.
    pub engine: EngineName,
    /// Version that could not be loaded.
    pub version: VersionName,
    /// Why, in the engine's words.
    pub reason: String,
}

/// What to do next in a pool.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PoolDecision {
    /// The next order of each engine that needs one.
    pub orders: BTreeMap<EngineName, Order>,
    /// Failed steps.
    pub stops: Vec<StoppedMove>,
    /// Engines that have not reached the wanted state.
    pub behind: usize,
}

/// Decides the next order of each engine of a pool under the fencing number `fence`.
///
/// An engine that checks fencing numbers first gets its role again, which changes
/// nothing but makes it refuse every order of an earlier holder.
///
/// At most `free_loads` loads start. Versions are loaded and warmed on every engine
/// before any engine unloads one, and none is unloaded before each router knows that it
/// serves no team. A failed load is tried again as `retries` allow; until it succeeds no
/// other engine loads its version and none unloads one.
pub fn decide(
    wanted: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
    fence: Offset,
    mut free_loads: usize,
    retries: &Retries,
    now: Instant,
) -> PoolDecision {
    let stops = stops(wanted, reports, retries);
    let held_back: BTreeSet<_> = wanted
        .load_failures
        .keys()
        .chain(retries.failing())
        .collect();
    let is_ready =
        |(engine, report): (&EngineName, &EngineReport)| is_ready(wanted, engine, report);
    let are_ready = stops.is_empty() && reports.iter().all(is_ready);
    let may_unload = wanted.is_known_everywhere && are_ready;
    let mut orders = BTreeMap::new();
    let mut behind = 0;
    for (engine, report) in reports {
        let extra = surplus(wanted, engine, report);
        let may_load = |version: &VersionName| match report.versions.get(version) {
            Some(VersionState::Failed { .. }) => {
                let is_stopped = stops.iter().any(|stop| stop.version == *version);
                !is_stopped && retries.is_due(engine, version, now)
            }
            Some(_) => false,
            None => !held_back.contains(version),
        };
        let order = role_step(wanted, engine, report, fence)
            .or_else(|| next_step(wanted, engine, report, &mut free_loads, may_load))
            .or_else(|| unload_step(extra.filter(|_| may_unload)));
        if order.is_some() || extra.is_some() || !is_ready((engine, report)) {
            behind += 1;
        }
        orders.extend(order.map(|order| (engine.clone(), order)));
    }
    PoolDecision {
        orders,
        stops,
        behind,
    }
}

fn is_ready(wanted: &DesiredState, engine: &EngineName, report: &EngineReport) -> bool {
    let mut versions = wanted.versions_of(engine);
    versions.all(|version| is_warm(report, version))
}

fn role_step(
    wanted: &DesiredState,
    engine: &EngineName,
    report: &EngineReport,
    fence: Offset,
) -> Option<Order> {
    let role = wanted.role(engine);
    let is_due = report.role != role || is_unfenced(report, fence);
    is_due.then_some(Order::SetRole { role })
}

fn unload_step(version: Option<&VersionName>) -> Option<Order> {
    let version = version?.clone();
    Some(Order::Unload { version })
}

fn is_unfenced(report: &EngineReport, fence: Offset) -> bool {
    report.checks_fencing && report.fence < fence
}

/// Returns the moves that the configuration has stopped, and those that stop now.
fn stops(
    wanted: &DesiredState,
    reports: &BTreeMap<EngineName, EngineReport>,
    retries: &Retries,
) -> Vec<StoppedMove> {
    let halts = wanted
        .load_failures
        .iter()
        .map(|(version, halt)| StoppedMove {
            engine: halt.engine.clone(),
            version: version.clone(),
            reason: halt.reason.clone(),
        });
    let mut stops: Vec<_> = halts.collect();
    for (engine, version, reason) in failures(wanted, reports) {
        if retries.is_exhausted(engine, version) && !wanted.load_failures.contains_key(version) {
            stops.push(StoppedMove {
                engine: engine.clone(),
                version: version.clone(),
                reason: reason.to_string(),
            });
        }
    }
    stops
}

fn failures<'a>(
    wanted: &'a DesiredState,
    reports: &'a BTreeMap<EngineName, EngineReport>,
) -> impl Iterator<Item = (&'a EngineName, &'a VersionName, &'a str)> {
    let states = reports.iter().flat_map(|(engine, report)| {
        let versions = report.versions.iter();
        versions.map(move |(version, state)| (engine, version, state))
    });
    let wanted = states.filter(|(_, version, _)| wanted.versions.contains(*version));
    wanted.filter_map(|(engine, version, state)| match state {
        VersionState::Failed { reason } => Some((engine, version, reason.as_str())),
        _ => None,
    })
}

/// Returns whether an engine has `version` ready.
pub(super) fn is_warm(report: &EngineReport, version: &VersionName) -> bool {
    report.versions.get(version) == Some(&VersionState::Warm)
}

/// Returns a version that the engine has and nobody wants.
fn surplus<'a>(
    wanted: &DesiredState,
    engine: &EngineName,
    report: &'a EngineReport,
) -> Option<&'a VersionName> {
    let unwanted = |version: &&VersionName| {
        let mut own = wanted.versions_of(engine);
        !own.any(|wanted| wanted == *version) && !wanted.must_keep(engine, version)
    };
    report.versions.keys().find(unwanted)
}

fn next_step(
    wanted: &DesiredState,
    engine: &EngineName,
    report: &EngineReport,
    free_loads: &mut usize,
    may_load: impl Fn(&VersionName) -> bool,
) -> Option<Order> {
    for version in wanted.versions_of(engine) {
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
