//! Confirmation of plans: concurrent operators, log outages, lost responses, exit statuses.

use expect_test::expect;
use rustix::process::Signal;
use serde_json::{json, Value};

use super::{
    command::{finish, plan_apply, run, start},
    support::{dump, wait_until, Fleet},
};

/// Returns the share of the team `kerb` in the configuration of a router.
fn share(fleet: &Fleet, router: usize) -> Value {
    let state = dump(&fleet.routers[router]).expect("a dump");
    state["config"]["teams"]["kerb"]["share"].clone()
}

/// Returns the operator and outcome of each decision about a plan.
fn decisions(fleet: &Fleet) -> Vec<String> {
    let events = run(fleet, &["events", "--output", "json"]);
    let lines = events.out.lines();
    let events = lines.map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    let texts = events.map(|event| {
        let rejection = event["rejection"]["reason"].as_str();
        format!(
            "{} {}",
            event["operator"].as_str().unwrap_or("?"),
            rejection.unwrap_or("accepted")
        )
    });
    texts.collect()
}

#[test]
fn of_two_concurrent_conflicting_plans_one_is_accepted_and_the_other_reports_a_conflict() {
    let fleet = Fleet::start(1, 3);
    plan_apply(&fleet, "alice", "teams: [{name: kerb, share: 2}]");
    plan_apply(&fleet, "bob", "teams: [{name: kerb, share: 3}]");
    let alice = start(&fleet, 0, &["confirm", "alice.plan", "--wait"]);
    let bob = start(&fleet, 1, &["confirm", "bob.plan", "--wait"]);
    let (alice, bob) = (finish(alice), finish(bob));
    let mut statuses = [alice.status, bob.status];
    let accepted_share = if alice.status == 0 { 2 } else { 3 };
    statuses.sort_unstable();
    assert_eq!(statuses, [0, 4], "{alice:?} {bob:?}");
    let rejected = if alice.status == 0 { &bob } else { &alice };
    assert!(
        rejected.err.contains("team/kerb was changed since"),
        "{rejected:?}"
    );
    wait_until("the accepted plan is applied by every router", || {
        (0..3).all(|router| share(&fleet, router) == accepted_share)
    });
    expect![[r#"["test accepted", "test accepted", "test conflict"]"#]]
        .assert_eq(&format!("{:?}", decisions(&fleet)));
}

#[test]
fn a_confirmation_whose_append_responses_are_lost_is_applied_once() {
    let fleet = Fleet::start(1, 2);
    plan_apply(&fleet, "p", "teams: [{name: kerb, share: 2}]");
    fleet.faults(&json!({ "drop_append_answers": 1 }));
    let first = run(&fleet, &["confirm", "p.plan", "--wait"]);
    plan_apply(&fleet, "q", "teams: [{name: kerb, share: 5}]");
    let between = run(&fleet, &["confirm", "q.plan", "--wait"]);
    let again = run(&fleet, &["confirm", "p.plan"]);
    let statuses = [first.status, between.status, again.status];
    assert_eq!(
        (statuses, share(&fleet, 0)),
        ([0, 0, 0], json!(5)),
        "{again:?}"
    );
    expect![[r#"["test accepted", "test accepted", "test accepted"]"#]]
        .assert_eq(&format!("{:?}", decisions(&fleet)));
}

#[test]
fn during_a_log_outage_plans_are_made_but_confirmations_fail_without_a_change() {
    let fleet = Fleet::start(1, 2);
    fleet.faults(&json!({ "log_outage": true }));
    plan_apply(&fleet, "p", "teams: [{name: kerb, share: 2}]");
    let refused = run(&fleet, &["confirm", "p.plan"]);
    fleet.faults(&json!({}));
    let accepted = run(&fleet, &["confirm", "p.plan", "--wait"]);
    assert_eq!(
        (refused.status, accepted.status),
        (8, 0),
        "{refused:?} {accepted:?}"
    );
}

#[test]
fn each_kind_of_failure_has_its_exit_status() {
    let fleet = Fleet::start(1, 2);
    plan_apply(&fleet, "p", "teams: [{name: kerb, share: 2}]");
    let file = fleet.dir.path().join("p.plan");
    let token = std::fs::read_to_string(&file).expect("a plan");
    let altered = if token.as_bytes()[80] == b'A' {
        "B"
    } else {
        "A"
    };
    let altered = format!("{}{altered}{}", &token[..80], &token[81..]);
    std::fs::write(fleet.dir.path().join("altered.plan"), altered).expect("a file");
    let mut with_wrong_token = super::command::command(&fleet, 0, &["confirm", "p.plan"]);
    with_wrong_token.env("EBONYSPUR_TOKEN", "token-of-nobody-at-all");
    let mut without_router = super::command::command(&fleet, 0, &["confirm", "p.plan"]);
    without_router.env(
        "EBONYSPUR_ROUTERS",
        super::support::free_address().to_string(),
    );
    let output = |command: &mut std::process::Command| {
        super::command::CommandOutput::new(&command.output().expect("a finished process")).status
    };
    let statuses = [
        (
            "last engine",
            run(&fleet, &["plan", "drain", "engine-1"]).status,
        ),
        (
            "unknown engine",
            run(&fleet, &["plan", "drain", "engine-9"]).status,
        ),
        (
            "altered plan",
            run(&fleet, &["confirm", "altered.plan"]).status,
        ),
        ("wrong token", output(&mut with_wrong_token)),
        ("no router", output(&mut without_router)),
        ("usage", run(&fleet, &["plan", "drain"]).status),
        {
            fleet.routers[1].process.signal(Signal::STOP);
            let waited = run(&fleet, &["confirm", "p.plan", "--wait", "--timeout", "2s"]);
            fleet.routers[1].process.signal(Signal::CONT);
            ("frozen router", waited.status)
        },
        (
            "thawed router",
            run(&fleet, &["confirm", "p.plan", "--wait"]).status,
        ),
    ];
    let lines = statuses.map(|(case, status)| format!("{case}: {status}"));
    expect![[r#"
        last engine: 3
        unknown engine: 3
        altered plan: 3
        wrong token: 7
        no router: 8
        usage: 2
        frozen router: 6
        thawed router: 0"#]]
    .assert_eq(&lines.join("\n"));
}
