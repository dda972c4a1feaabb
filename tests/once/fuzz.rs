//! Stateful fuzzing of claims under crashes, lost and late appends, outages, pauses, retention,
//! changes of partition owners at any time, and lost, late or repeated messages.
//!
//! `EBONYSPUR_FUZZ_CASES` sets the number of sequences and `EBONYSPUR_FUZZ_SEED` the seed.

use std::{cell::RefCell, collections::BTreeMap};

use expect_test::expect;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::simulation::{Effect, Simulation, KEYS, ROUTERS};

/// Default number of sequences.
const CASES: u32 = 400;

/// Upper bound on the transitions of a sequence.
const MAX_STEPS: usize = 400;

#[derive(Debug, Clone)]
pub enum Transition {
    StartAttempt(usize, usize),
    AdvanceAttempt(usize, usize, Effect, usize),
    DeliverMessage(usize, Effect, Effect),
    ReleaseHeld(usize, usize, bool),
    ResetPartition(usize, usize),
    ReadLog(usize, u64),
    Crash(usize),
    DeliverLateAppend(usize),
    Truncate(usize),
    AdvanceTime(u64),
    ToggleOutage,
}

/// Strategy of transitions; each transition is possible in each state.
struct Choices;

impl ReferenceStateMachine for Choices {
    /// Whether the log has an outage.
    type State = bool;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<bool> {
        Just(false).boxed()
    }

    fn transitions(outage: &bool) -> BoxedStrategy<Transition> {
        use Transition::*;
        let effect = prop_oneof![
            10 => Just(Effect::Done),
            1 => Just(Effect::AnswerLost),
            1 => Just(Effect::Late),
            1 => Just(Effect::Refused),
        ];
        let delivery = prop_oneof![
            16 => Just(Effect::Done),
            1 => Just(Effect::AnswerLost),
            2 => Just(Effect::Late),
        ];
        let router = 0..ROUTERS;
        prop_oneof![
            8 => (router.clone(), 0..KEYS).prop_map(|(router, key)| StartAttempt(router, key)),
            20 => (router.clone(), 0..8usize, effect.clone(), router.clone())
                .prop_map(|(router, pick, effect, owner)| AdvanceAttempt(router, pick, effect, owner)),
            40 => (0..8usize, delivery, effect)
                .prop_map(|(pick, delivery, effect)| DeliverMessage(pick, delivery, effect)),
            16 => (router.clone(), 0..8usize, prop::bool::weighted(0.1))
                .prop_map(|(router, pick, hold_is_over)| ReleaseHeld(router, pick, hold_is_over)),
            1 => (router.clone(), 0..KEYS).prop_map(|(router, key)| ResetPartition(router, key)),
            24 => (router.clone(), 1..12u64).prop_map(|(router, count)| ReadLog(router, count)),
            1 => router.prop_map(Crash),
            2 => (0..8usize).prop_map(DeliverLateAppend),
            1 => (1..6usize).prop_map(Truncate),
            1 => prop_oneof![Just(1u64), Just(10), Just(600), Just(1_500)].prop_map(AdvanceTime),
            if *outage { 12 } else { 1 } => Just(ToggleOutage),
        ]
        .boxed()
    }

    fn apply(outage: bool, transition: &Transition) -> bool {
        outage ^ matches!(transition, Transition::ToggleOutage)
    }
}

thread_local! {
    static COUNTS: RefCell<BTreeMap<String, u64>> = RefCell::default();
}

struct Claims;

impl StateMachineTest for Claims {
    type SystemUnderTest = Simulation;
    type Reference = Choices;

    fn init_test(_: &bool) -> Simulation {
        let mut simulation = Simulation::new();
        simulation.counts.insert("sequence".into(), 1);
        simulation
    }

    fn apply(mut simulation: Simulation, _: &bool, transition: Transition) -> Simulation {
        *simulation.counts.entry("step".into()).or_default() += 1;
        match transition {
            Transition::StartAttempt(router, key) => simulation.start_attempt(router, key),
            Transition::AdvanceAttempt(router, pick, effect, owner) => {
                simulation.advance_attempt(router, pick, effect, owner);
            }
            Transition::DeliverMessage(pick, delivery, effect) => {
                simulation.deliver_message(pick, delivery, effect)
            }
            Transition::ReleaseHeld(router, pick, hold_is_over) => {
                simulation.release_held(router, pick, hold_is_over)
            }
            Transition::ResetPartition(router, key) => simulation.reset_partition(router, key),
            Transition::ReadLog(router, count) => simulation.read_log(router, count),
            Transition::Crash(router) => simulation.crash(router),
            Transition::DeliverLateAppend(pick) => simulation.deliver_late_append(pick),
            Transition::Truncate(count) => simulation.truncate(count),
            Transition::AdvanceTime(minutes) => simulation.advance_time(minutes),
            Transition::ToggleOutage => simulation.toggle_outage(),
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &bool) {
        simulation.check();
    }

    fn teardown(simulation: Simulation, _: bool) {
        COUNTS.with_borrow_mut(|counts| {
            for (what, count) in simulation.counts {
                *counts.entry(what).or_default() += count;
            }
        });
    }
}

fn setting(name: &str) -> Option<u32> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn no_key_runs_twice_and_no_run_is_reported_as_not_run() {
    let cases = setting("EBONYSPUR_FUZZ_CASES");
    let seed = setting("EBONYSPUR_FUZZ_SEED").unwrap_or(1);
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let sequences = Choices::sequential_strategy(1..MAX_STEPS);
    let outcome = runner.run(&sequences, |(state, transitions, seen)| {
        Claims::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(err) = outcome {
        panic!("{err}");
    }
    let counts = COUNTS.with_borrow(|counts| {
        counts
            .iter()
            .map(|(what, count)| format!("{what}: {count}\n"))
            .collect::<String>()
    });
    println!("{counts}");
    if cases.is_none() && seed == 1 {
        expect![[r#"
            answer replayed: 107
            append AnswerLost: 183
            append Done: 1781
            append Late: 188
            append Refused: 384
            attempt: 4451
            claim acquired: 577
            claim duplicate: 870
            claim indeterminate: 345
            claim refused: 793
            claim timed out: 510
            crash: 653
            late append arrived: 141
            message AnswerLost: 426
            message Done: 6596
            message Late: 821
            outage toggled: 1196
            owner unresponsive: 661
            partition reset: 491
            pause of hours: 332
            read in outage: 1161
            records lost to retention: 1287
            refused by age: 820
            replayed as not run: 71
            reply Forgotten: 527
            reply Logged: 2117
            reply NotCaughtUp: 328
            reply Pending: 161
            reply Refused: 274
            reply too late or repeated: 1077
            retention: 684
            run: 400
            sequence: 400
            server accepts no connection: 42
            server's answer lost: 58
            step: 78593
        "#]]
        .assert_eq(&counts);
    }
}
