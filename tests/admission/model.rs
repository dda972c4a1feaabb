//! Model of a pool with a fixed number of slots in virtual time, which uses the real fair queue.

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

/// Time after which a waiting interactive request is refused.
pub const QUEUE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after which the caller of an interactive request abandons an attempt and retries.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Maximum number of attempts of a caller at one request.
const MAX_ATTEMPTS: u32 = 5;

/// How requests are admitted and ordered.
pub enum Policy {
    /// The retry budgets and the fair queue of the crate.
    Fair(FairQueue),
    /// A FIFO queue without limits or retry budgets.
    Unbounded(VecDeque<Arrival>),
}

/// Arrival of one attempt at a request.
#[derive(Clone)]
pub struct Arrival {
    pub team: TeamName,
    pub class: Class,
    pub attempt: u32,
    pub at: Instant,
}

/// Number of requests answered in time, by second, team and class.
pub type Answered = BTreeMap<(u64, TeamName, &'static str), u64>;

/// The pool, the router in front of it and the callers.
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

    /// Runs one step in which the first attempts in `requests` and all due retries arrive.
    pub fn step(&mut self, requests: impl Iterator<Item = (TeamName, Class)>) {
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
        let mut arrivals: Vec<_> = requests.map(first).collect();
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
        let timeout = match arrival.class {
            Class::Interactive => QUEUE_TIMEOUT,
            Class::Draft => QUEUE_TIMEOUT * 4,
        };
        let entry = QueueEntry {
            team: &arrival.team,
            share: self.shares[&arrival.team],
            class: arrival.class,
            deadline: self.now + timeout,
        };
        let Ok(enqueued) = queue.enqueue(entry) else {
            return self.refuse(arrival);
        };
        self.longest_queue = self.longest_queue.max(queue.len());
        self.waiting.insert(enqueued.id, (arrival, permit));
        if let Some((victim, _)) = enqueued.evicted.and_then(|id| self.waiting.remove(&id)) {
            self.refuse(victim);
        }
    }

    fn arrive_unbounded(&mut self, arrival: Arrival) {
        let Policy::Unbounded(queue) = &mut self.policy else {
            return;
        };
        queue.push_back(arrival);
        self.longest_queue = self.longest_queue.max(queue.len());
    }

    fn refuse(&mut self, arrival: Arrival) {
        self.refused += 1;
        self.retry(&arrival);
    }

    /// Lets the caller retry in the next step, unless it has made all attempts.
    fn retry(&mut self, arrival: &Arrival) {
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
                    let (expired, _) = self.waiting.remove(&id).expect("a waiting request");
                    self.refuse(expired);
                }
            }
            Policy::Unbounded(queue) => {
                let abandoned_at = self.now - CALLER_TIMEOUT;
                let abandoned = |a: &&Arrival| a.at <= abandoned_at && a.at + STEP > abandoned_at;
                let abandoned: Vec<_> = queue.iter().filter(abandoned).cloned().collect();
                abandoned.iter().for_each(|arrival| self.retry(arrival));
            }
        }
    }

    fn serve_next(&mut self) -> bool {
        let arrival = match &mut self.policy {
            Policy::Fair(queue) => queue.grant_turn(self.now).map(|id| {
                queue.remove_placed(id);
                self.waiting.remove(&id).expect("a waiting request").0
            }),
            Policy::Unbounded(queue) => queue.pop_front(),
        };
        let Some(arrival) = arrival else {
            return false;
        };
        let service_time = Duration::from_millis(self.rng.random_range(800..1_200));
        self.running
            .push(std::cmp::Reverse(self.now + service_time));
        let timeout = match arrival.class {
            Class::Interactive => CALLER_TIMEOUT,
            Class::Draft => CALLER_TIMEOUT * 4,
        };
        if self.now.since(arrival.at) < timeout {
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

    /// Returns the rate of answered requests per second within `seconds`, for those that `pick`
    /// selects.
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

/// Returns how many requests arrive in the step from `now` at `rate` requests per second.
pub fn arrivals(rate: u64, now: Instant) -> usize {
    let upto = |at: Instant| at.as_micros() * rate / 1_000_000;
    (upto(now + STEP) - upto(now)) as usize
}
