//! Decisions on the next orders of a pool from its desired state and the reports.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use ebonyspur::{
    config::Role,
    infra::WeightStoreUsage,
    orders::{decide, DesiredState, EngineReport, Order, Retries, VersionState},
    EngineName, Instant, Offset, VersionName,
};
use expect_test::expect;

fn version(name: &str) -> VersionName {
    VersionName::new(name).unwrap()
}

fn desired(versions: &[&str], in_use: &[&str]) -> DesiredState {
    DesiredState {
        versions: versions.iter().map(|name| version(name)).collect(),
        in_use: in_use.iter().map(|name| version(name)).collect(),
        is_known_everywhere: true,
        ..DesiredState::default()
    }
}

/// Reports of simulated engines that carry out each order at once.
struct Engines(BTreeMap<EngineName, EngineReport>);

impl Engines {
    fn with(count: usize, loaded: &[&str]) -> Self {
        let report = EngineReport {
            versions: loaded
                .iter()
                .map(|name| (version(name), VersionState::Warm))
                .collect(),
            ..EngineReport::default()
        };
        let name = |number| EngineName::new(&format!("e{number}")).unwrap();
        Engines((1..=count).map(|n| (name(n), report.clone())).collect())
    }

    fn carry_out(&mut self, engine: &EngineName, order: &Order, failing: Option<&str>) {
        let report = self.0.get_mut(engine).unwrap();
        match order {
            Order::Load { version } if failing == Some(engine.as_str()) => {
                let reason = "no memory".to_string();
                let failed = VersionState::Failed { reason };
                report.versions.insert(version.clone(), failed);
            }
            Order::Load { version } => {
                report
                    .versions
                    .insert(version.clone(), VersionState::Loaded);
            }
            Order::Warm { version } => {
                report.versions.insert(version.clone(), VersionState::Warm);
            }
            Order::Unload { version } => drop(report.versions.remove(version)),
            Order::SetRole { role } => report.role = *role,
        }
    }

    fn reconcile(
        &mut self,
        desired: &DesiredState,
        free_loads: usize,
        failing: Option<&str>,
    ) -> String {
        let mut text = String::new();
        let (mut retries, mut now) = (Retries::default(), Instant::default());
        for round in 1..20 {
            now = now + Duration::from_secs(1);
            retries.observe_reports(&self.0, now);
            let decision = decide(desired, &self.0, Offset(0), free_loads, &retries, now);
            for (engine, order) in &decision.orders {
                writeln!(text, "{round} {engine} {order:?}").unwrap();
                self.carry_out(engine, order, failing);
                if let Order::Load { version } = order {
                    retries.record_attempt(engine, version);
                }
            }
            for stop in &decision.stopped_moves {
                writeln!(text, "{round} stopped at {} {}", stop.engine, stop.reason).unwrap();
            }
            let is_failing = retries.failing_versions().next().is_some();
            if decision.orders.is_empty() && (!is_failing || !decision.stopped_moves.is_empty()) {
                writeln!(text, "{round} {} behind", decision.engines_behind).unwrap();
                break;
            }
        }
        text
    }
}

#[test]
fn a_version_is_loaded_within_the_rate_and_warmed_before_the_old_one_is_unloaded() {
    let mut engines = Engines::with(3, &["m-1"]);
    expect![[r#"
        1 e1 Load { version: m-2 }
        1 e2 Load { version: m-2 }
        2 e1 Warm { version: m-2 }
        2 e2 Warm { version: m-2 }
        2 e3 Load { version: m-2 }
        3 e3 Warm { version: m-2 }
        4 e1 Unload { version: m-1 }
        4 e2 Unload { version: m-1 }
        4 e3 Unload { version: m-1 }
        5 0 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired(&["m-2"], &[]), 2, None));
}

#[test]
fn a_version_that_serves_a_team_is_not_unloaded() {
    let mut engines = Engines::with(2, &["m-1", "m-2"]);
    expect![[r#"
        1 0 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired(&["m-2"], &["m-1"]), 2, None));
}

#[test]
fn a_load_that_fails_three_times_with_pauses_stops_its_move() {
    let mut engines = Engines::with(3, &["m-1"]);
    expect![[r#"
        1 e1 Load { version: m-2 }
        4 e1 Load { version: m-2 }
        9 e1 Load { version: m-2 }
        10 stopped at e1 no memory
        10 3 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired(&["m-2"], &[]), 1, Some("e1")));
}

#[test]
fn another_router_continues_from_the_reports_alone() {
    let mut engines = Engines::with(2, &["m-1"]);
    let desired = desired(&["m-2"], &[]);
    let (retries, now) = (Retries::default(), Instant::default());
    let first = decide(&desired, &engines.0, Offset(0), 1, &retries, now);
    let (engine, order) = first.orders.iter().next().expect("an order");
    engines.carry_out(engine, order, None);
    expect![[r#"
        1 e1 Warm { version: m-2 }
        1 e2 Load { version: m-2 }
        2 e2 Warm { version: m-2 }
        3 e1 Unload { version: m-1 }
        3 e2 Unload { version: m-1 }
        4 0 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired, 1, None));
}

#[test]
fn a_role_changes_before_anything_is_loaded() {
    let mut engines = Engines::with(1, &[]);
    let mut desired = desired(&["m-1"], &[]);
    let engine = engines.0.keys().next().cloned().unwrap();
    desired.roles.insert(engine, Role::Prefill);
    expect![[r#"
        1 e1 SetRole { role: Prefill }
        2 e1 Load { version: m-1 }
        3 e1 Warm { version: m-1 }
        4 0 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired, 1, None));
}

#[test]
fn an_engine_that_checks_fencing_gets_the_new_number_before_any_load() {
    let report = |checks_fencing| EngineReport {
        checks_fencing,
        fence: Offset(3),
        ..EngineReport::default()
    };
    let name = |name: &str| EngineName::new(name).unwrap();
    let reports = [
        (name("checks"), report(true)),
        (name("ignores"), report(false)),
    ];
    let (desired, retries, now) = (
        desired(&["m-1"], &[]),
        Retries::default(),
        Instant::default(),
    );
    let decision = decide(&desired, &reports.into(), Offset(7), 2, &retries, now);
    expect!["{checks: SetRole { role: Mixed }, ignores: Load { version: m-1 }}"]
        .assert_eq(&format!("{:?}", decision.orders));
}

#[test]
fn reported_loads_count_although_the_weight_store_does_not_show_them_yet() {
    let usage = WeightStoreUsage {
        limit: 4,
        loading: 1,
    };
    let free: Vec<_> = [0, 1, 3, 5]
        .iter()
        .map(|reported| usage.free(*reported))
        .collect();
    expect!["[3, 3, 1, 0]"].assert_eq(&format!("{free:?}"));
}

#[test]
fn nothing_is_unloaded_before_each_router_knows_that_it_serves_no_team() {
    let mut engines = Engines::with(2, &["m-1", "m-2"]);
    let desired = DesiredState {
        is_known_everywhere: false,
        ..desired(&["m-2"], &[])
    };
    expect![[r#"
        1 2 behind
    "#]]
    .assert_eq(&engines.reconcile(&desired, 2, None));
}

#[test]
fn an_engine_keeps_versions_that_requests_may_need_until_a_new_assignment_takes_effect() {
    let mut engines = Engines::with(2, &["m-1"]);
    let assignment = |versions: [&str; 2]| {
        let names = ["e1", "e2"].map(|name| EngineName::new(name).unwrap());
        let sets = versions.map(|name| [version(name)].into());
        names.into_iter().zip(sets).collect()
    };
    let mut desired = DesiredState {
        engines: assignment(["m-1", "m-2"]),
        ..desired(&["m-1", "m-2"], &["m-1", "m-2"])
    };
    let before = engines.reconcile(&desired, 2, None);
    desired.assignment.current = assignment(["m-1", "m-2"]);
    let after = engines.reconcile(&desired, 2, None);
    expect![[r#"
        1 e2 Load { version: m-2 }
        2 e2 Warm { version: m-2 }
        3 0 behind
        spread
        1 e2 Unload { version: m-1 }
        2 0 behind
    "#]]
    .assert_eq(&format!("{before}spread\n{after}"));
}
