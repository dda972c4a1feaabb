//! Virtual time: drives one policy through the trace.

mod bound;
mod choose;
mod churn;
mod news;
mod place;
mod seekers;

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

pub use self::news::{Spread, SPREAD};
use self::{news::News, seekers::Seekers};
use super::{
    engines::{Sim, SAMPLE},
    known::KnownLoads,
    policy::Policy,
    report::Report,
    trace::{Churn, Turn},
};

/// Routers of the fleet.
pub const ROUTERS: usize = 19;

/// Bound as a multiple of the mean.
pub const FACTOR: f64 = 1.25;

/// Chats that the directory of a router holds.
const DIRECTORY_CHATS: usize = 2_048;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { engine: usize, grant: u64 },
    Churn(usize),
    Return(usize),
    Sample,
    Gossip,
    Arrive { turn: usize, since: u64 },
}

/// The state of one run.
pub struct World<'a> {
    policy: Policy,
    turns: &'a [Turn],
    churn: &'a [(u64, Churn)],
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sims: Vec<Sim>,
    steward: Steward,
    known: Vec<KnownLoads>,
    memory: HashMap<u32, Hint>,
    directories: Vec<ChatDirectory>,
    failures: HashMap<EngineName, Vec<u64>>,
    served: HashMap<u32, usize>,
    rng: Pcg64Mcg,
    gossip_rng: Pcg64Mcg,
    next: u64,
    names: Vec<RouterName>,
    seekers: Seekers,
    news: News,
    /// The bound as the engines counted it, each [`SAMPLE`].
    bounds: Vec<u32>,
    report: Report,
}

impl<'a> World<'a> {
    /// Creates the world before its first event.
    pub fn new(
        policy: Policy,
        engines: usize,
        seed: u64,
        turns: &'a [Turn],
        churn: &'a [(u64, Churn)],
    ) -> Self {
        let name = |number| RouterName::new(&format!("router-{number}")).expect("a name");
        let mut world = World {
            policy,
            turns,
            churn,
            now: 0,
            events: BinaryHeap::new(),
            sims: (0..engines).map(|number| Sim::new(number, 0, 0)).collect(),
            steward: Steward::default(),
            known: (0..ROUTERS).map(|_| KnownLoads::default()).collect(),
            memory: HashMap::new(),
            directories: (0..ROUTERS)
                .map(|_| ChatDirectory::with_capacity(DIRECTORY_CHATS))
                .collect(),
            failures: HashMap::new(),
            served: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            gossip_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            next: 0,
            seekers: Seekers::new(ROUTERS),
            news: News::new(ROUTERS),
            bounds: Vec::new(),
            names: (0..ROUTERS).map(name).collect(),
            report: Report::new(policy.name),
        };
        for (turn, arrival) in turns.iter().enumerate() {
            let since = arrival.at;
            world.schedule(since, Event::Arrive { turn, since });
        }
        for (number, (at, _)) in churn.iter().enumerate() {
            world.schedule(*at, Event::Churn(number));
        }
        world.schedule(0, Event::Sample);
        world.schedule(0, Event::Gossip);
        world
    }

    /// Runs until `end` and returns what was measured.
    pub fn run(mut self, end: u64) -> Report {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= end {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.report.age_ms = self.news.mean_age_ms();
        self.report.finish(end);
        self.report
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { turn, since } => self.arrive(turn, since),
            Event::Finish { engine, grant } => self.finish(engine, grant),
            Event::Churn(number) => self.change(self.churn[number].1),
            Event::Return(number) => self.join(number),
            Event::Sample => self.sample(),
            Event::Gossip => self.gossip(),
        }
    }

    fn gossip(&mut self) {
        let spread = self.policy.spread;
        self.news.tick(spread, self.now, &mut self.gossip_rng);
        self.report.datagrams += ROUTERS as u64;
        self.schedule(self.now + spread.tick, Event::Gossip);
    }

    fn sample(&mut self) {
        let now = self.now;
        self.sims.iter_mut().for_each(|sim| sim.record(now));
        self.seekers.record(now);
        let bound = self.true_bound();
        self.bounds.resize((now / SAMPLE) as usize, bound);
        self.bounds.push(bound);
        let live = self.live();
        for at in &live {
            let sim = &mut self.sims[*at];
            sim.overfilled &= sim.in_flight > bound;
        }
        let loads: Vec<_> = live.iter().map(|at| self.sims[*at].in_flight).collect();
        let overfilled = live.iter().any(|at| self.sims[*at].overfilled);
        self.report.sample(&loads, bound, overfilled);
        self.schedule(now + SAMPLE, Event::Sample);
    }
}

fn chat_id(chat: u32) -> ChatId {
    ChatId::new(&format!("chat-{chat}")).expect("a name")
}
