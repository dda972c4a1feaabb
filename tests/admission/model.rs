//! A pool of engines with a fixed capacity in virtual time, driven by the real queue.

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use ebonyspur::{
    admission::{Admission, Class, FairQueue, Permit, QueueEntry, WaitId},
    Instant, TeamName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Virtual time between two steps.
pub const STEP: Duration = Duration::from_millis(10);

/// Slots of the pool.
pub const SLOTS: usize = 40;

/// Longest time a request waits for a slot.
pub const PATIENCE: Duration = Duration::from_millis(2_000);

/// Longest time a caller waits for an answer before it gives up and sends again.
pub const CALLER_PATIENCE: Duration = Duration::from_millis(4_000);

/// Attempts of a caller at one request.
const MAX_ATTEMPTS: u32 = 5;

/// How requests are let in and ordered.
pub enum Policy {
    /// The admission of the crate.
    Fair(FairQueue),
    /// One line without limits or budgets, served in order.
    Unbounded(VecDeque<Arrival>),
}

/// One attempt at a request.
#[derive(Clone)]
pub struct Arrival {
    pub team: TeamName,
    pub class: Class,
    pub attempt: u32,
    pub at: Instant,
}

/// What happened in each second, by team and class.
pub type Answered = BTreeMap<(u64, TeamName, &'static str), u64>;

/// The pool, the router before it and the callers.
pub struct Model {
    policy: Policy,
    admission: Arc<Admission>,
    shares: BTreeMap<TeamName, u32>,
    waiting: HashMap<WaitId, (Arrival, Permit)>,
    running: BinaryHeap<std::cmp::Reverse<Instant>>,
    retries: Vec<Arrival>,
    rng: Pcg64Mcg,
    pub now: Instant,
    pub answered: Answered,
    pub refused: u64,
    pub longest_queue: usize,
}

impl Model {
    pub fn new(policy: Policy, shares: &[(&str, u32)]) -> Self {
        let named = |(name, share): &(&str, u32)| (team(name), *share);
        Model {
            policy,
            admission: Arc::default(),
            shares: shares.iter().map(named).collect(),
            waiting: HashMap::new(),
            running: BinaryHeap::new(),
            retries: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(7),
            now: Instant::from_millis(0),
            answered: BTreeMap::new(),
            refused: 0,
            longest_queue: 0,
        }
    }

    /// Runs one step in which `fresh` requests arrive besides the retries.
    pub fn step(&mut self, fresh: impl Iterator<Item = (TeamName, Class)>) {
        self.now = self.now + STEP;
        while self.running.peek().is_some_and(|end| end.0 <= self.now) {
            self.running.pop();
        }
        let at = self.now;
        let first = |(team, class)| Arrival {
            team,
            class,
            attempt: 1,
            at,
        };
        let mut arrivals: Vec<_> = fresh.map(first).collect();
        arrivals.append(&mut self.retries);
        for arrival in arrivals {
            self.arrive(arrival);
        }
        self.expire();
        while self.running.len() < SLOTS && self.serve_next() {}
    }

    fn arrive(&mut self, arrival: Arrival) {
        let Policy::Fair(queue) = &mut self.policy else {
            return self.arrive_unbounded(arrival);
        };
        let Ok(permit) = self.admission.admit(&arrival.team, arrival.attempt) else {
            return self.refuse(arrival);
        };
        let patience = match arrival.class {
            Class::Interactive => PATIENCE,
            Class::Draft => PATIENCE * 4,
        };
        let applicant = QueueEntry {
            team: &arrival.team,
            share: self.shares[&arrival.team],
            class: arrival.class,
            deadline: self.now + patience,
        };
        let Ok(entered) = queue.enqueue(applicant) else {
            return self.refuse(arrival);
        };
        self.longest_queue = self.longest_queue.max(queue.len());
        self.waiting.insert(entered.id, (arrival, permit));
        if let Some((victim, _)) = entered.evicted.and_then(|id| self.waiting.remove(&id)) {
            self.refuse(victim);
        }
    }

    fn arrive_unbounded(&mut self, arrival: Arrival) {
        let Policy::Unbounded(line) = &mut self.policy else {
            return;
        };
        line.push_back(arrival);
        self.longest_queue = self.longest_queue.max(line.len());
    }

    fn refuse(&mut self, arrival: Arrival) {
        self.refused += 1;
        self.send_again(&arrival);
    }

    /// The caller sends again at once.
    fn send_again(&mut self, arrival: &Arrival) {
        if arrival.attempt < MAX_ATTEMPTS {
            let attempt = arrival.attempt + 1;
            let at = self.now + STEP;
            self.retries.push(Arrival {
                attempt,
                at,
                ..arrival.clone()
            });
        }
    }

    fn expire(&mut self) {
        match &mut self.policy {
            Policy::Fair(queue) => {
                for id in queue.expire(self.now) {
                    let (late, _) = self.waiting.remove(&id).expect("a waiting request");
                    self.refuse(late);
                }
            }
            Policy::Unbounded(line) => {
                let given_up = self.now - CALLER_PATIENCE;
                let late = |a: &&Arrival| a.at <= given_up && a.at + STEP > given_up;
                let late: Vec<_> = line.iter().filter(late).cloned().collect();
                late.iter().for_each(|arrival| self.send_again(arrival));
            }
        }
    }

    fn serve_next(&mut self) -> bool {
        let arrival = match &mut self.policy {
            Policy::Fair(queue) => queue.grant_turn(self.now).map(|id| {
                queue.remove_placed(id);
                self.waiting.remove(&id).expect("a waiting request").0
            }),
            Policy::Unbounded(line) => line.pop_front(),
        };
        let Some(arrival) = arrival else {
            return false;
        };
        let took = Duration::from_millis(self.rng.random_range(800..1_200));
        self.running.push(std::cmp::Reverse(self.now + took));
        let patience = match arrival.class {
            Class::Interactive => CALLER_PATIENCE,
            Class::Draft => CALLER_PATIENCE * 4,
        };
        if self.now.since(arrival.at) < patience {
            let class = match arrival.class {
                Class::Interactive => "interactive",
                Class::Draft => "draft",
            };
            let second = self.now.as_micros() / 1_000_000;
            *self
                .answered
                .entry((second, arrival.team, class))
                .or_default() += 1;
        }
        true
    }

    /// Returns the answered requests a second within `seconds`, of those that `pick` takes.
    pub fn rate(
        &self,
        seconds: std::ops::Range<u64>,
        pick: impl Fn(&TeamName, &str) -> bool,
    ) -> f64 {
        let len = (seconds.end - seconds.start) as f64;
        let within = |second: &u64| seconds.contains(second);
        let counts = self.answered.iter();
        let counts =
            counts.filter(|((second, team, class), _)| within(second) && pick(team, class));
        counts.map(|(_, count)| count).sum::<u64>() as f64 / len
    }
}

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a valid name")
}

/// Returns how many of `rate` requests a second arrive in the step that ends at `now`.
pub fn arrivals(rate: u64, now: Instant) -> usize {
    let upto = |at: Instant| at.as_micros() * rate / 1_000_000;
    (upto(now + STEP) - upto(now)) as usize
}
