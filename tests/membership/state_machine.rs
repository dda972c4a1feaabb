//! Stateful fuzzing of the gossip under random faults.
//!
//! Epochs must never go back, and once the faults end, the routers must agree on the ones that
//! are up.

use std::time::Duration;

use ebonyspur::membership::Epoch;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

use crate::network::{router, Network};

const ROUTERS: usize = 6;

/// Longest time until all routers agree after the faults have ended.
const CONVERGENCE: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Fault {
    Stop(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Splits the network; each bit is the side of one router.
    Split(u8),
    Heal,
    /// Share of lost datagrams, in percent.
    Loss(u32),
    /// Longest latency of a datagram, in milliseconds.
    Latency(u64),
    /// Runs the network without a new fault, for a time in milliseconds.
    Run(u64),
}

struct Faults;

impl ReferenceStateMachine for Faults {
    type State = ();
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Fault> {
        prop_oneof![
            1 => (0..ROUTERS).prop_map(Fault::Stop),
            1 => (0..ROUTERS).prop_map(Fault::Restart),
            1 => (0..ROUTERS).prop_map(Fault::Pause),
            1 => (0..ROUTERS).prop_map(Fault::Resume),
            1 => (1..(1u8 << ROUTERS) - 1).prop_map(Fault::Split),
            1 => Just(Fault::Heal),
            1 => (0u32..60).prop_map(Fault::Loss),
            1 => (0u64..1_500).prop_map(Fault::Latency),
            6 => (100u64..8_000).prop_map(Fault::Run),
        ]
        .boxed()
    }

    fn apply((): (), _: &Fault) {}
}

/// The network, and the latest epoch of each other router that each router has known.
struct Fleet {
    network: Network,
    latest: [[Epoch; ROUTERS]; ROUTERS],
}

impl Fleet {
    fn apply(&mut self, fault: &Fault) {
        let nodes = &mut self.network.nodes;
        match *fault {
            Fault::Stop(number) => nodes[number].up = false,
            Fault::Restart(number) => {
                self.network.restart(number);
                self.latest[number] = Default::default();
            }
            Fault::Pause(number) => nodes[number].paused = true,
            Fault::Resume(number) => nodes[number].paused = false,
            Fault::Split(sides) => {
                for (number, node) in nodes.iter_mut().enumerate() {
                    node.side = sides >> number & 1;
                }
            }
            Fault::Heal => nodes.iter_mut().for_each(|node| node.side = 0),
            Fault::Loss(percent) => self.network.loss = percent,
            Fault::Latency(millis) => self.network.latency = millis,
            Fault::Run(millis) => self.network.run(Duration::from_millis(millis)),
        }
    }

    /// Asserts that no router replaces a known epoch by an earlier one.
    fn check_epochs(&mut self) {
        for (number, node) in self.network.nodes.iter().enumerate() {
            for (other, latest) in self.latest[number].iter_mut().enumerate() {
                let epoch = node.view.member_state(&router(other)).epoch;
                assert!(
                    epoch >= *latest,
                    "router {number} replaced the epoch of router {other} by an earlier one"
                );
                *latest = epoch;
            }
        }
    }

    fn end_faults(&mut self) {
        self.network.loss = 0;
        self.network.latency = 20;
        for node in &mut self.network.nodes {
            node.side = 0;
            node.paused = false;
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = Faults;

    fn init_test((): &()) -> Fleet {
        Fleet {
            network: Network::new(ROUTERS, 2),
            latest: Default::default(),
        }
    }

    fn apply(mut fleet: Fleet, (): &(), fault: Fault) -> Fleet {
        Fleet::apply(&mut fleet, &fault);
        fleet.check_epochs();
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.end_faults();
        let took = fleet.network.run_until(CONVERGENCE, Network::agrees);
        assert!(
            took < CONVERGENCE,
            "routers do not agree after the faults have ended"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        .. ProptestConfig::default()
    })]

    #[test]
    fn live_routers_agree_after_faults_end(sequential 1..30 => Fleet);
}
