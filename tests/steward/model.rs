//! Stateful fuzzing against an oracle that counts the work on the engine.

use std::collections::BTreeSet;

use ebonyspur::{
    admission::{CrashRisk, Fingerprint},
    steward::{GrantReply, Steward},
};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

use crate::support::{ask_as, at, engine, holder, renew, router, settled};

/// Bound of the engine.
const BOUND: u32 = 4;

/// Routers that hold grants.
const HOLDERS: u64 = 3;

/// Time that passes with each step, in milliseconds.
const STEP: u64 = 700;

#[derive(Debug, Clone)]
enum Step {
    /// A router asks for a slot and sends its request if it gets one.
    Ask { router: u64, suspect: bool },
    /// A request of a router ends; the release may be lost.
    End { router: u64, lost: bool },
    /// A router dies; its work on the engine ends later.
    Die(u64),
    /// The engine notices that the routers that died are gone.
    Notice,
    /// A router lists its grants.
    Renew(u64),
    /// The engine reports its load.
    Report,
    /// The steward hands over to a new one; the call may be lost when it has died.
    Change { died: bool },
}

/// What is truly in flight on the engine.
#[derive(Debug, Clone, Default)]
struct Truth {
    now: u64,
    next: u64,
    running: BTreeSet<(u64, u64)>,
    /// Suspects on the engine that were granted by a steward that lives.
    suspects: BTreeSet<(u64, u64)>,
    orphans: u32,
    dead: BTreeSet<u64>,
}

impl Truth {
    fn in_flight(&self) -> u32 {
        self.running.len() as u32 + self.orphans
    }

    fn notice(&mut self) {
        self.orphans = 0;
        let running = &self.running;
        self.suspects.retain(|suspect| running.contains(suspect));
    }

    fn of(&self, router: u64) -> Vec<u64> {
        let own = self.running.iter().filter(|(holder, _)| *holder == router);
        own.map(|(_, grant)| *grant).collect()
    }
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let router = 0..HOLDERS;
        prop_oneof![
            6 => (router.clone(), any::<bool>()).prop_map(|(router, suspect)| Step::Ask { router, suspect }),
            3 => (router.clone(), any::<bool>()).prop_map(|(router, lost)| Step::End { router, lost }),
            1 => router.clone().prop_map(Step::Die),
            1 => Just(Step::Notice),
            2 => router.prop_map(Step::Renew),
            3 => Just(Step::Report),
            1 => any::<bool>().prop_map(|died| Step::Change { died }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct Fuzzed {
    steward: Steward,
    truth: Truth,
}

impl Fuzzed {
    fn ask(&mut self, router: u64, suspect: bool) {
        let truth = &mut self.truth;
        if truth.dead.contains(&router) {
            return;
        }
        let grant = truth.next;
        truth.next += 1;
        let trust = match suspect {
            true => CrashRisk::High(Fingerprint(grant)),
            false => CrashRisk::Low,
        };
        let asker = holder(router, grant);
        if ask_as(&self.steward, asker, trust, BOUND, truth.now) == GrantReply::Granted {
            assert!(truth.in_flight() < BOUND, "placed at the bound: {truth:?}");
            truth.running.insert((router, grant));
            if suspect {
                assert!(truth.suspects.is_empty(), "two suspects: {truth:?}");
                truth.suspects.insert((router, grant));
            }
        }
    }

    fn end(&mut self, number: u64, lost: bool) {
        let Some(grant) = self.truth.of(number).first().copied() else {
            return;
        };
        self.truth.running.remove(&(number, grant));
        self.truth.suspects.remove(&(number, grant));
        if !lost {
            let holder = holder(number, grant);
            let (name, now) = (engine().name, at(self.truth.now));
            self.steward.release(
                &name,
                &router(number),
                holder.incarnation,
                holder.grant,
                now,
            );
        }
    }

    fn die(&mut self, number: u64) {
        let own = self.truth.of(number);
        self.truth.orphans += own.len() as u32;
        self.truth.running.retain(|(holder, _)| *holder != number);
        self.truth.dead.insert(number);
    }

    /// A steward that died loses its book; the holders list their grants at once.
    fn change(&mut self, died: bool) {
        let now = self.truth.now;
        let new = Steward::default();
        new.take_over(&engine(), at(now));
        let book = self.steward.hand_over(&engine().name, at(now)).unwrap();
        if died {
            self.truth.suspects.clear();
        } else {
            new.accept_hand_over(&engine().name, book, at(now));
        }
        self.steward = new;
        for number in 0..HOLDERS {
            self.renew(number);
        }
    }

    fn renew(&mut self, number: u64) {
        if !self.truth.dead.contains(&number) {
            let own = self.truth.of(number);
            renew(&self.steward, number, &own, self.truth.next, self.truth.now);
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Fuzzed;
    type Reference = Reference;

    fn init_test(_: &()) -> Fuzzed {
        Fuzzed {
            steward: settled(),
            truth: Truth::default(),
        }
    }

    fn apply(mut fuzzed: Fuzzed, _: &(), step: Step) -> Fuzzed {
        fuzzed.truth.now += STEP;
        match step {
            Step::Ask { router, suspect } => fuzzed.ask(router, suspect),
            Step::End { router, lost } => fuzzed.end(router, lost),
            Step::Die(router) => fuzzed.die(router),
            Step::Notice => fuzzed.truth.notice(),
            Step::Renew(router) => fuzzed.renew(router),
            Step::Report => {
                let load = fuzzed.truth.in_flight();
                let now = at(fuzzed.truth.now);
                fuzzed.steward.record_load_report(&engine(), load, now);
            }
            Step::Change { died } => fuzzed.change(died),
        }
        let dead = fuzzed.truth.dead.clone();
        let is_live = |name: &_| !dead.iter().any(|number| router(*number) == *name);
        fuzzed.steward.tick(is_live, at(fuzzed.truth.now));
        fuzzed
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_bound_holds_in_each_step(sequential 1..60 => Machine);
}
