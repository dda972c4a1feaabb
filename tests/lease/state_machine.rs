//! At most one of three routers holds the lease under pauses, lost and late appends, log outages,
//! restarts and clocks of different speeds.

use std::time::Duration;

use ebonyspur::{
    lease::{Lease, LeaseHolder, LeaseRecord, LeaseState, LeaseTiming},
    Incarnation, Instant, Offset, RouterName,
};
use expect_test::expect;
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// Speeds of the routers' clocks, in thousandths of real time.
const CLOCK_RATES: [u64; 3] = [960, 1_000, 1_040];

#[derive(Debug, Clone)]
enum Step {
    /// Time passes for all routers; a router without a step of its own is paused.
    Advance { millis: u64 },
    /// A router reads up to `count` records.
    Read { node: usize, count: usize },
    /// A router sends a bid, or a renewal if that is due.
    Send { node: usize },
    /// A sent append takes effect, at any time after it was sent.
    Arrive { index: usize },
    /// A sent append is lost.
    Lose { index: usize },
    /// The log stops answering reads, or starts again.
    Outage { on: bool },
    /// A router restarts with a new incarnation.
    Restart { node: usize },
    /// A router sends an order to the engine if it holds the lease.
    Order { node: usize },
}

/// A schedule of steps; the reference model has no state, as the test checks invariants only.
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
    state: Option<LeaseState>,
    rate: u64,
}

struct Fleet {
    /// Real time.
    millis: u64,
    last_incarnation: u64,
    nodes: Vec<Node>,
    log: Vec<(Offset, Option<LeaseRecord>)>,
    /// Appends that were sent and neither took effect nor were lost.
    sent: Vec<LeaseRecord>,
    outage: bool,
    /// Highest fencing number that the engine has accepted.
    engine_fence: Offset,
}

fn candidate(node: usize, incarnation: u64) -> LeaseState {
    let me = LeaseHolder {
        name: RouterName::new(&format!("r{node}")).unwrap(),
        incarnation: Incarnation(incarnation),
    };
    LeaseState::Candidate(Lease::new(me, LeaseTiming::default()))
}

impl Fleet {
    fn new() -> Self {
        let node = |(node, rate): (usize, &u64)| Node {
            state: Some(candidate(node, 0)),
            rate: *rate,
        };
        Fleet {
            millis: 0,
            last_incarnation: 0,
            nodes: CLOCK_RATES.iter().enumerate().map(node).collect(),
            log: Vec::new(),
            sent: Vec::new(),
            outage: false,
            engine_fence: Offset(0),
        }
    }

    fn clock(&self, node: usize) -> Instant {
        Instant::from_micros(self.millis * self.nodes[node].rate)
    }

    fn change(&mut self, node: usize, change: impl FnOnce(LeaseState, Instant) -> LeaseState) {
        let now = self.clock(node);
        let state = self.nodes[node].state.take().expect("a state");
        let state = match change(state, now) {
            LeaseState::Lapsed(lease) => LeaseState::Candidate(lease.into_candidate()),
            state => state,
        };
        self.nodes[node].state = Some(state);
    }

    fn read(&mut self, node: usize, count: usize) {
        let from = match self.nodes[node].state.as_ref() {
            Some(LeaseState::Candidate(lease)) => lease.stream().applied(),
            Some(LeaseState::Held(lease)) => lease.stream().applied(),
            _ => return,
        };
        let page = self.log.iter().skip(from.0 as usize).take(count);
        let page: Vec<_> = page.cloned().collect();
        self.change(node, |state, now| match state {
            LeaseState::Candidate(lease) => lease.observe(&page, now),
            LeaseState::Held(lease) => lease.observe(&page, now),
            state => state,
        });
    }

    fn send(&mut self, node: usize) {
        let now = self.clock(node);
        let record = match self.nodes[node].state.as_mut() {
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

    fn held_fence(&self, node: usize) -> Option<Offset> {
        match self.nodes[node].state.as_ref() {
            Some(LeaseState::Held(lease)) if self.clock(node) < lease.expires_at() => {
                Some(lease.fence())
            }
            _ => None,
        }
    }

    fn order(&mut self, node: usize) {
        if let Some(fence) = self.held_fence(node) {
            assert!(
                fence >= self.engine_fence,
                "the engine refuses an order of the lease holder"
            );
            self.engine_fence = fence;
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
                fleet.last_incarnation += 1;
                fleet.nodes[node].state = Some(candidate(node, fleet.last_incarnation));
            }
            Step::Order { node } => fleet.order(node),
            Step::Read { .. } | Step::Lose { .. } => {}
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        let holders = (0..fleet.nodes.len()).filter(|node| fleet.held_fence(*node).is_some());
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
fn a_holder_with_the_slowest_clock_stops_before_a_candidate_with_the_fastest_bids() {
    let mut fleet = Fleet::new();
    fleet.send(0);
    fleet.arrive(0);
    fleet.read(0, 1);
    fleet.read(2, 1);
    let (Some(LeaseState::Held(holder)), Some(LeaseState::Candidate(candidate))) =
        (&fleet.nodes[0].state, &fleet.nodes[2].state)
    else {
        panic!("router 0 does not hold the lease, or router 2 is not a candidate");
    };
    let stops = holder.expires_at().as_micros() / CLOCK_RATES[0];
    let bids = candidate.bid_at(0, Duration::ZERO).as_micros() / CLOCK_RATES[2];
    expect!["the holder stops at 10416 ms, the candidate bids at 10576 ms"].assert_eq(&format!(
        "the holder stops at {stops} ms, the candidate bids at {bids} ms"
    ));
    assert!(stops < bids);
}
