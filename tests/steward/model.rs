//! State machine test of a steward against a model of the work on one engine.

use std::collections::BTreeSet;

use ebonyspur::{
    admission::{CrashRisk, Fingerprint},
    steward::{GrantReply, Steward},
};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

use crate::support::{ask_as, at, engine, holder, renew, router, settled};

/// Load bound of the engine.
const BOUND: u32 = 4;

/// Routers that hold grants.
const ROUTERS: u64 = 3;

/// Time between two steps.
const STEP_MS: u64 = 700;

#[derive(Debug, Clone)]
enum Step {
    /// A router asks for a slot and dispatches its request when the slot is granted.
    Ask { router: u64, high_risk: bool },
    /// A request of a router ends; `lost` tells whether the release is lost.
    End { router: u64, lost: bool },
    /// A router fails; its work on the engine ends later.
    Fail(u64),
    /// The engine ends the work of failed routers.
    EndOrphans,
    /// A router renews its grants.
    Renew(u64),
    /// The engine reports its load.
    Report,
    /// A new steward takes over, without a hand-over when the previous one has failed.
    TakeOver { failed: bool },
}

/// Model of the work that is in flight on the engine.
#[derive(Debug, Clone, Default)]
struct EngineModel {
    now: u64,
    next_grant: u64,
    /// Router and grant number of each request of a router that has not failed.
    running: BTreeSet<(u64, u64)>,
    /// High-risk requests on the engine that the current steward knows of.
    high_risk_requests: BTreeSet<(u64, u64)>,
    /// Number of requests on the engine whose router has failed.
    orphans: u32,
    failed_routers: BTreeSet<u64>,
}

impl EngineModel {
    fn in_flight(&self) -> u32 {
        self.running.len() as u32 + self.orphans
    }

    fn end_orphans(&mut self) {
        self.orphans = 0;
        let running = &self.running;
        self.high_risk_requests
            .retain(|request| running.contains(request));
    }

    fn grants_of(&self, router: u64) -> Vec<u64> {
        let grants = self.running.iter().filter(|(holder, _)| *holder == router);
        grants.map(|(_, grant)| *grant).collect()
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
        let router = 0..ROUTERS;
        prop_oneof![
            6 => (router.clone(), any::<bool>()).prop_map(|(router, high_risk)| Step::Ask { router, high_risk }),
            3 => (router.clone(), any::<bool>()).prop_map(|(router, lost)| Step::End { router, lost }),
            1 => router.clone().prop_map(Step::Fail),
            1 => Just(Step::EndOrphans),
            2 => router.prop_map(Step::Renew),
            3 => Just(Step::Report),
            1 => any::<bool>().prop_map(|failed| Step::TakeOver { failed }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct TestedSteward {
    steward: Steward,
    model: EngineModel,
}

impl TestedSteward {
    fn ask(&mut self, router: u64, high_risk: bool) {
        let model = &mut self.model;
        if model.failed_routers.contains(&router) {
            return;
        }
        let grant = model.next_grant;
        model.next_grant += 1;
        let crash_risk = match high_risk {
            true => CrashRisk::High(Fingerprint(grant)),
            false => CrashRisk::Low,
        };
        let requester = holder(router, grant);
        if ask_as(&self.steward, requester, crash_risk, BOUND, model.now) == GrantReply::Granted {
            assert!(model.in_flight() < BOUND, "granted at the bound: {model:?}");
            model.running.insert((router, grant));
            if high_risk {
                assert!(
                    model.high_risk_requests.is_empty(),
                    "two high-risk requests: {model:?}"
                );
                model.high_risk_requests.insert((router, grant));
            }
        }
    }

    fn end(&mut self, number: u64, lost: bool) {
        let Some(grant) = self.model.grants_of(number).first().copied() else {
            return;
        };
        self.model.running.remove(&(number, grant));
        self.model.high_risk_requests.remove(&(number, grant));
        if !lost {
            let holder = holder(number, grant);
            let (name, now) = (engine().name, at(self.model.now));
            self.steward.release(
                &name,
                &router(number),
                holder.incarnation,
                holder.grant,
                now,
            );
        }
    }

    fn fail(&mut self, number: u64) {
        let grants = self.model.grants_of(number);
        self.model.orphans += grants.len() as u32;
        self.model.running.retain(|(holder, _)| *holder != number);
        self.model.failed_routers.insert(number);
    }

    /// A failed steward loses its ledger. The holders renew their grants at the new one at once.
    fn replace_steward(&mut self, failed: bool) {
        let now = self.model.now;
        let new = Steward::default();
        new.take_over(&engine(), at(now));
        let hand_over = self.steward.hand_over(&engine().name, at(now)).unwrap();
        if failed {
            self.model.high_risk_requests.clear();
        } else {
            new.accept_hand_over(&engine().name, hand_over, at(now));
        }
        self.steward = new;
        for number in 0..ROUTERS {
            self.renew(number);
        }
    }

    fn renew(&mut self, number: u64) {
        if !self.model.failed_routers.contains(&number) {
            let grants = self.model.grants_of(number);
            renew(
                &self.steward,
                number,
                &grants,
                self.model.next_grant,
                self.model.now,
            );
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = TestedSteward;
    type Reference = Reference;

    fn init_test(_: &()) -> TestedSteward {
        TestedSteward {
            steward: settled(),
            model: EngineModel::default(),
        }
    }

    fn apply(mut tested: TestedSteward, _: &(), step: Step) -> TestedSteward {
        tested.model.now += STEP_MS;
        match step {
            Step::Ask { router, high_risk } => tested.ask(router, high_risk),
            Step::End { router, lost } => tested.end(router, lost),
            Step::Fail(router) => tested.fail(router),
            Step::EndOrphans => tested.model.end_orphans(),
            Step::Renew(router) => tested.renew(router),
            Step::Report => {
                let load = tested.model.in_flight();
                let now = at(tested.model.now);
                tested.steward.record_load_report(&engine(), load, now);
            }
            Step::TakeOver { failed } => tested.replace_steward(failed),
        }
        let failed_routers = tested.model.failed_routers.clone();
        let is_live = |name: &_| !failed_routers.iter().any(|number| router(*number) == *name);
        tested.steward.tick(is_live, at(tested.model.now));
        tested
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
    fn load_stays_within_the_bound_in_each_step(sequential 1..60 => Machine);
}
