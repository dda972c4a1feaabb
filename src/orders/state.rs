//! Decides the next orders from the wanted state and the reports.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::{Order, Report, VersionState, Wanted};
use crate::{EngineName, Offset, VersionName};

/// A step that failed and stops its move until the configuration changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Stop {
    /// Engine on which it failed.
    pub engine: EngineName,
    /// Version that could not be loaded.
    pub version: VersionName,
    /// Why, in the engine's words.
    pub reason: String,
}

/// What to do next in a pool.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The next order of each engine that needs one.
    pub orders: BTreeMap<EngineName, Order>,
    /// Failed steps.
    pub stops: Vec<Stop>,
    /// Engines that have not reached the wanted state.
    pub behind: usize,
}

/// Decides the next order of each engine of a pool under the fencing number `fence`.
///
/// An engine that checks fencing numbers first gets its role again, which changes
/// nothing but makes it refuse every order of an earlier holder.
///
/// At most `free_loads` loads start. Versions are loaded and warmed on every engine
/// before any engine unloads one; a failed load starts no further load of its version
/// and no unload.
pub fn decide(
    wanted: &Wanted,
    reports: &BTreeMap<EngineName, Report>,
    fence: Offset,
    mut free_loads: usize,
) -> Decision {
    let stops = failed_steps(wanted, reports);
    let stopped: BTreeSet<_> = stops.iter().map(|stop| &stop.version).collect();
    let ready = |report: &Report| {
        wanted
            .versions
            .iter()
            .all(|version| is_warm(report, version))
    };
    let may_unload = stops.is_empty() && reports.values().all(ready);
    let mut orders = BTreeMap::new();
    let mut behind = 0;
    for (engine, report) in reports {
        let extra = surplus(wanted, report);
        let role = wanted.role(engine);
        let order = if report.role != role || is_unfenced(report, fence) {
            Some(Order::SetRole { role })
        } else if let Some(order) = next_step(wanted, report, &stopped, &mut free_loads) {
            Some(order)
        } else {
            let version = extra.filter(|_| may_unload).cloned();
            version.map(|version| Order::Unload { version })
        };
        if order.is_some() || extra.is_some() || !ready(report) {
            behind += 1;
        }
        orders.extend(order.map(|order| (engine.clone(), order)));
    }
    Decision {
        orders,
        stops,
        behind,
    }
}

fn is_unfenced(report: &Report, fence: Offset) -> bool {
    report.checks_fencing && report.fence < fence
}

fn failed_steps(wanted: &Wanted, reports: &BTreeMap<EngineName, Report>) -> Vec<Stop> {
    let mut stops = Vec::new();
    for (engine, report) in reports {
        for version in &wanted.versions {
            if let Some(VersionState::Failed { reason }) = report.versions.get(version) {
                stops.push(Stop {
                    engine: engine.clone(),
                    version: version.clone(),
                    reason: reason.clone(),
                });
            }
        }
    }
    stops
}

fn is_warm(report: &Report, version: &VersionName) -> bool {
    report.versions.get(version) == Some(&VersionState::Warm)
}

/// Returns a version that the engine has and nobody wants.
fn surplus<'a>(wanted: &Wanted, report: &'a Report) -> Option<&'a VersionName> {
    let unwanted = |version: &&VersionName| {
        !wanted.versions.contains(*version) && !wanted.in_use.contains(*version)
    };
    report.versions.keys().find(unwanted)
}

fn next_step(
    wanted: &Wanted,
    report: &Report,
    stopped: &BTreeSet<&VersionName>,
    free_loads: &mut usize,
) -> Option<Order> {
    for version in &wanted.versions {
        match report.versions.get(version) {
            Some(VersionState::Loaded) => {
                let version = version.clone();
                return Some(Order::Warm { version });
            }
            None if *free_loads > 0 && !stopped.contains(version) => {
                *free_loads -= 1;
                let version = version.clone();
                return Some(Order::Load { version });
            }
            _ => {}
        }
    }
    None
}
