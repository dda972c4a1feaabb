//! Event-driven simulation of one policy on the trace, in virtual time.

mod bound;
mod choose;
mod engine_changes;
mod load_times;
mod place;
mod waiting;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use ebonyspur::{
    placement::{ChatDirectory, Hint},
    steward::Steward,
    ChatId, EngineName, RouterName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::load_times::{GossipSchedule, LIBRARY_GOSSIP};
use self::{load_times::LoadTimes, waiting::WaitingRequests};
use super::{
    engines::{SimulatedEngine, SAMPLE_INTERVAL},
    policy::Policy,
    report::Report,
    reported_loads::ReportedLoads,
    trace::{EngineChange, Turn},
};

/// Number of routers in the fleet.
pub const ROUTERS: usize = 19;

/// Load bound as a multiple of the mean load.
pub const LOAD_FACTOR: f64 = 1.25;

/// Number of chats that the directory of a router holds.
const DIRECTORY_CHATS: usize = 2_048;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { engine: usize, grant: u64 },
    ChangeEngines(usize),
    Return(usize),
    Sample,
    Gossip,
    Arrive { turn: usize, since: u64 },
}

/// State of one run.
pub struct Simulation<'a> {
    policy: Policy,
    turns: &'a [Turn],
    changes: &'a [(u64, EngineChange)],
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<SimulatedEngine>,
    steward: Steward,
    reported_loads: Vec<ReportedLoads>,
    hints: HashMap<u32, Hint>,
    directories: Vec<ChatDirectory>,
    /// Times at which each engine left.
    failures: HashMap<EngineName, Vec<u64>>,
    /// Engine that last served each chat.
    last_engine: HashMap<u32, usize>,
    rng: Pcg64Mcg,
    gossip_rng: Pcg64Mcg,
    /// Number of the last scheduled event; orders events of the same time, and numbers grants.
    last_event: u64,
    router_names: Vec<RouterName>,
    waiting: WaitingRequests,
    load_times: LoadTimes,
    /// Samples of the actual bound, one every [`SAMPLE_INTERVAL`].
    bounds: Vec<u32>,
    report: Report,
}

impl<'a> Simulation<'a> {
    /// Creates the state before the first event.
    pub fn new(
        policy: Policy,
        engines: usize,
        seed: u64,
        turns: &'a [Turn],
        changes: &'a [(u64, EngineChange)],
    ) -> Self {
        let name = |number| RouterName::new(&format!("router-{number}")).expect("a name");
        let mut simulation = Simulation {
            policy,
            turns,
            changes,
            now: 0,
            events: BinaryHeap::new(),
            engines: (0..engines)
                .map(|number| SimulatedEngine::new(number, 0, 0))
                .collect(),
            steward: Steward::default(),
            reported_loads: (0..ROUTERS).map(|_| ReportedLoads::default()).collect(),
            hints: HashMap::new(),
            directories: (0..ROUTERS)
                .map(|_| ChatDirectory::with_capacity(DIRECTORY_CHATS))
                .collect(),
            failures: HashMap::new(),
            last_engine: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            gossip_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            last_event: 0,
            waiting: WaitingRequests::new(ROUTERS),
            load_times: LoadTimes::new(ROUTERS),
            bounds: Vec::new(),
            router_names: (0..ROUTERS).map(name).collect(),
            report: Report::new(policy.name),
        };
        for (turn, arrival) in turns.iter().enumerate() {
            let since = arrival.at;
            simulation.schedule(since, Event::Arrive { turn, since });
        }
        for (number, (at, _)) in changes.iter().enumerate() {
            simulation.schedule(*at, Event::ChangeEngines(number));
        }
        simulation.schedule(0, Event::Sample);
        simulation.schedule(0, Event::Gossip);
        simulation
    }

    /// Runs until `end` and returns the figures.
    pub fn run(mut self, end: u64) -> Report {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= end {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.report.age_ms = self.load_times.mean_age_ms();
        self.report.finish(end);
        self.report
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { turn, since } => self.arrive(turn, since),
            Event::Finish { engine, grant } => self.finish(engine, grant),
            Event::ChangeEngines(number) => self.change_engines(self.changes[number].1),
            Event::Return(number) => self.join(number),
            Event::Sample => self.sample(),
            Event::Gossip => self.gossip(),
        }
    }

    fn gossip(&mut self) {
        let schedule = self.policy.gossip;
        self.load_times
            .tick(schedule, self.now, &mut self.gossip_rng);
        self.report.datagrams += ROUTERS as u64;
        self.schedule(self.now + schedule.interval, Event::Gossip);
    }

    fn sample(&mut self) {
        let now = self.now;
        self.engines
            .iter_mut()
            .for_each(|engine| engine.sample_load(now));
        self.waiting.sample(now);
        let bound = self.actual_bound();
        self.bounds.resize((now / SAMPLE_INTERVAL) as usize, bound);
        self.bounds.push(bound);
        let live = self.live();
        for at in &live {
            let engine = &mut self.engines[*at];
            engine.overfilled &= engine.in_flight > bound;
        }
        let loads: Vec<_> = live.iter().map(|at| self.engines[*at].in_flight).collect();
        let overfilled = live.iter().any(|at| self.engines[*at].overfilled);
        self.report.record_sample(&loads, bound, overfilled);
        self.schedule(now + SAMPLE_INTERVAL, Event::Sample);
    }
}

fn chat_id(chat: u32) -> ChatId {
    ChatId::new(&format!("chat-{chat}")).expect("a name")
}
