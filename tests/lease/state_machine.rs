//! Three routers under pauses, lost and late appends, outages, restarts and clocks that drift.

use std::time::Duration;

use ebonyspur::{
    lease::{Lease, LeaseHolder, LeaseRecord, LeaseState, LeaseTiming},
    Incarnation, Instant, Offset, RouterName,
};
use expect_test::expect;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// Speeds of the routers' clocks, in thousandths.
const CLOCK_RATES: [u64; 3] = [960, 1_000, 1_040];

#[derive(Debug, Clone)]
enum Step {
    /// Time passes for all; a router without a step of its own is paused.
    Advance { millis: u64 },
    /// Reads up to `count` records.
    Read { node: usize, count: usize },
    /// Bids, or renews when that is due.
    Send { node: usize },
    /// An append takes effect, at any time after it was sent.
    Arrive { index: usize },
    /// An append is lost.
    Lose { index: usize },
    /// The log stops or starts answering.
    Outage { on: bool },
    /// A router is replaced by a new life of it.
    Restart { node: usize },
    /// The holder orders the engine.
    Order { node: usize },
}

/// The schedule is the whole model: what must hold is an invariant.
struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..CLOCK_RATES.len();
        prop_oneof![
            6 => (1..4_000u64).prop_map(|millis| Step::Advance { millis }),
            8 => (node.clone(), 1..6usize).prop_map(|(node, count)| Step::Read { node, count }),
            8 => node.clone().prop_map(|node| Step::Send { node }),
            8 => (0..8usize).prop_map(|index| Step::Arrive { index }),
            1 => (0..8usize).prop_map(|index| Step::Lose { index }),
            1 => any::<bool>().prop_map(|on| Step::Outage { on }),
            1 => node.clone().prop_map(|node| Step::Restart { node }),
            4 => node.prop_map(|node| Step::Order { node }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Node {
    phase: Option<LeaseState>,
    rate: u64,
}

struct Fleet {
    millis: u64,
    lives: u64,
    nodes: Vec<Node>,
    log: Vec<(Offset, Option<LeaseRecord>)>,
    sent: Vec<LeaseRecord>,
    outage: bool,
    engine: Offset,
}

fn candidate(node: usize, life: u64) -> LeaseState {
    let me = LeaseHolder {
        name: RouterName::new(&format!("r{node}")).unwrap(),
        incarnation: Incarnation(life),
    };
    LeaseState::Candidate(Lease::new(me, LeaseTiming::default()))
}

impl Fleet {
    fn new() -> Self {
        let node = |(node, rate): (usize, &u64)| Node {
            phase: Some(candidate(node, 0)),
            rate: *rate,
        };
        Fleet {
            millis: 0,
            lives: 0,
            nodes: CLOCK_RATES.iter().enumerate().map(node).collect(),
            log: Vec::new(),
            sent: Vec::new(),
            outage: false,
            engine: Offset(0),
        }
    }

    fn clock(&self, node: usize) -> Instant {
        Instant::from_micros(self.millis * self.nodes[node].rate)
    }

    fn change(&mut self, node: usize, change: impl FnOnce(LeaseState, Instant) -> LeaseState) {
        let now = self.clock(node);
        let phase = self.nodes[node].phase.take().expect("a phase");
        let phase = match change(phase, now) {
            LeaseState::Lapsed(lease) => LeaseState::Candidate(lease.into_candidate()),
            phase => phase,
        };
        self.nodes[node].phase = Some(phase);
    }

    fn read(&mut self, node: usize, count: usize) {
        let from = match self.nodes[node].phase.as_ref() {
            Some(LeaseState::Candidate(lease)) => lease.stream().applied(),
            Some(LeaseState::Held(lease)) => lease.stream().applied(),
            _ => return,
        };
        let page = self.log.iter().skip(from.0 as usize).take(count);
        let page: Vec<_> = page.cloned().collect();
        self.change(node, |phase, now| match phase {
            LeaseState::Candidate(lease) => lease.observe(&page, now),
            LeaseState::Held(lease) => lease.observe(&page, now),
            phase => phase,
        });
    }

    fn send(&mut self, node: usize) {
        let now = self.clock(node);
        let record = match self.nodes[node].phase.as_mut() {
            Some(LeaseState::Candidate(lease))
                if lease.stream().applied().0 as usize == self.log.len() =>
            {
                lease.bid(now)
            }
            Some(LeaseState::Held(lease))
                if now < lease.expires_at() && now >= lease.renew_at() =>
            {
                Some(lease.renew(now))
            }
            _ => None,
        };
        self.sent.extend(record);
    }

    fn arrive(&mut self, index: usize) {
        if index < self.sent.len() {
            let record = self.sent.remove(index);
            self.log.push((Offset(self.log.len() as u64), Some(record)));
        }
    }

    fn holding(&self, node: usize) -> Option<Offset> {
        match self.nodes[node].phase.as_ref() {
            Some(LeaseState::Held(lease)) if self.clock(node) < lease.expires_at() => {
                Some(lease.fence())
            }
            _ => None,
        }
    }

    fn order(&mut self, node: usize) {
        if let Some(fence) = self.holding(node) {
            assert!(fence >= self.engine, "a holder is refused by the engine");
            self.engine = fence;
        }
    }
}

struct LeaseTest;

impl StateMachineTest for LeaseTest {
    type SystemUnderTest = Fleet;
    type Reference = Schedule;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        match step {
            Step::Advance { millis } => fleet.millis += millis,
            Step::Read { node, count } if !fleet.outage => fleet.read(node, count),
            Step::Send { node } => fleet.send(node),
            Step::Arrive { index } => fleet.arrive(index),
            Step::Lose { index } if index < fleet.sent.len() => drop(fleet.sent.remove(index)),
            Step::Outage { on } => fleet.outage = on,
            Step::Restart { node } => {
                fleet.lives += 1;
                fleet.nodes[node].phase = Some(candidate(node, fleet.lives));
            }
            Step::Order { node } => fleet.order(node),
            Step::Read { .. } | Step::Lose { .. } => {}
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        let holders = (0..fleet.nodes.len()).filter(|node| fleet.holding(*node).is_some());
        assert!(holders.count() <= 1, "two routers hold the lease");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_router_holds_the_lease(sequential 50..300 => LeaseTest);
}

#[test]
fn the_slowest_holder_stops_before_the_fastest_candidate_bids() {
    let mut fleet = Fleet::new();
    fleet.send(0);
    fleet.arrive(0);
    fleet.read(0, 1);
    fleet.read(2, 1);
    let (Some(LeaseState::Held(holder)), Some(LeaseState::Candidate(candidate))) =
        (&fleet.nodes[0].phase, &fleet.nodes[2].phase)
    else {
        panic!("router 0 holds the lease and router 2 waits");
    };
    let stops = holder.expires_at().as_micros() / CLOCK_RATES[0];
    let bids = candidate.bid_at(0, Duration::ZERO).as_micros() / CLOCK_RATES[2];
    expect!["the holder stops at 10416 ms, the candidate bids at 10576 ms"].assert_eq(&format!(
        "the holder stops at {stops} ms, the candidate bids at {bids} ms"
    ));
    assert!(stops < bids);
}
