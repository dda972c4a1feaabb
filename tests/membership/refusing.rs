//! Engines that refuse work are avoided for a short time.

use std::sync::Arc;

use ebonyspur::{
    membership::{Engine, RefusingEngines},
    Category, Error, Incarnation, Instant, Verdict,
};
use expect_test::expect;

fn engine(number: u16, incarnation: u64) -> Arc<Engine> {
    Arc::new(Engine {
        name: format!("engine-{number}").parse().expect("a name"),
        pool: "planners".parse().expect("a name"),
        address: ([127, 0, 0, 1], number).into(),
        domain: "d1".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        leaving: false,
    })
}

fn names(engines: &[Arc<Engine>]) -> String {
    let names: Vec<_> = engines.iter().map(|engine| engine.name.as_str()).collect();
    names.join(" ")
}

#[test]
fn a_refusing_engine_is_avoided_until_the_cooldown_ends() {
    let refusing = RefusingEngines::default();
    let all = || vec![engine(1, 7), engine(2, 7)];
    let refusal = Error::not_run(Category::Unavailable, "no connection");
    refusing.record_failure(&engine(1, 7), &refusal, Instant::from_millis(0));
    let at = |millis| names(&refusing.without_refusing(all(), Instant::from_millis(millis)));
    let lines = [at(0), at(999), at(1_000)];
    expect![[r#"
        engine-2
        engine-2
        engine-1 engine-2"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_new_incarnation_of_a_refusing_engine_is_used_at_once() {
    let refusing = RefusingEngines::default();
    let refusal = Error::not_run(Category::Unavailable, "no connection");
    refusing.record_failure(&engine(1, 7), &refusal, Instant::from_millis(0));
    let restarted = vec![engine(1, 8), engine(2, 7)];
    let engines = refusing.without_refusing(restarted, Instant::from_millis(1));
    expect!["engine-1 engine-2"].assert_eq(&names(&engines));
}

#[test]
fn a_refusing_engine_is_used_if_there_is_no_other() {
    let refusing = RefusingEngines::default();
    let refusal = Error::not_run(Category::Unavailable, "no connection");
    refusing.record_failure(&engine(1, 7), &refusal, Instant::from_millis(0));
    let engines = refusing.without_refusing(vec![engine(1, 7)], Instant::from_millis(1));
    expect!["engine-1"].assert_eq(&names(&engines));
}

#[test]
fn failures_other_than_refusals_do_not_avoid_an_engine() {
    let refusing = RefusingEngines::default();
    let failures = [
        Error::not_run(Category::BadInput, "the engine answered 400"),
        Error::new(
            Category::Timeout,
            Verdict::MayHaveRun,
            "the engine did not answer in time",
        ),
    ];
    for failure in &failures {
        refusing.record_failure(&engine(1, 7), failure, Instant::from_millis(0));
    }
    assert!(!refusing.contains(&engine(1, 7), Instant::from_millis(1)));
}
