//! Virtual time: drives one policy through the trace.

mod choose;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use ebonyspur::{
    admission::Trust,
    membership::PoolLoad,
    placement::{Directory, Hint},
    steward::{
        cautious_factor, load_bound, GrantId, GrantReply, HandOver, Holder, LoadFloor, Steward,
    },
    ChatId, EngineName, Incarnation, Instant, RouterName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    engines::{Sim, SAMPLE, SPLIT},
    known::KnownLoads,
    policy::{Choice, Mean, Memory, Policy},
    report::Report,
    trace::{Churn, Turn, SECOND},
};

/// Routers of the fleet.
pub const ROUTERS: usize = 19;

/// Size of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// Engines at the start.
    pub engines: usize,
    /// How old the loads of other engines are when a router uses them, in milliseconds.
    pub gossip_ms: u64,
}

/// Bound as a multiple of the mean.
pub const FACTOR: f64 = 1.25;

/// Time that a cold prefix adds.
const COLD: u64 = SECOND;

/// Time between two tries while waiting.
const TRY_AGAIN: u64 = SECOND / 10;

/// Chats that the directory of a router holds.
const DIRECTORY_CHATS: usize = 2_048;

/// How long a failure counts against an engine.
const FAILURE_MEMORY: u64 = 180 * SECOND;

/// Longest wait for any engine.
const QUEUE: u64 = 2 * SECOND;

/// How long a flapping engine is away.
const FLAP: u64 = 4 * SECOND;

/// Share of requests that come by an address that is out of date.
const STALE: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { engine: usize, grant: u64 },
    Churn(usize),
    Return(usize),
    Sample,
    Arrive { turn: usize, since: u64 },
}

/// The state of one run.
pub struct World<'a> {
    policy: Policy,
    scale: Scale,
    turns: &'a [Turn],
    churn: &'a [(u64, Churn)],
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sims: Vec<Sim>,
    steward: Steward,
    known: Vec<KnownLoads>,
    memory: HashMap<u32, Hint>,
    directories: Vec<Directory>,
    failures: HashMap<EngineName, Vec<u64>>,
    served: HashMap<u32, usize>,
    rng: Pcg64Mcg,
    next: u64,
    names: Vec<RouterName>,
    floors: Vec<LoadFloor>,
    report: Report,
}

impl<'a> World<'a> {
    /// Creates the world before its first event.
    pub fn new(
        policy: Policy,
        scale: Scale,
        seed: u64,
        turns: &'a [Turn],
        churn: &'a [(u64, Churn)],
    ) -> Self {
        let name = |number| RouterName::new(&format!("router-{number}")).expect("a name");
        let mut world = World {
            policy,
            scale,
            turns,
            churn,
            now: 0,
            events: BinaryHeap::new(),
            sims: (0..scale.engines)
                .map(|number| Sim::new(number, 0, 0))
                .collect(),
            steward: Steward::default(),
            known: (0..ROUTERS).map(|_| KnownLoads::default()).collect(),
            memory: HashMap::new(),
            directories: (0..ROUTERS)
                .map(|_| Directory::with_chats(DIRECTORY_CHATS))
                .collect(),
            failures: HashMap::new(),
            served: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next: 0,
            floors: vec![LoadFloor::default(); ROUTERS],
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
        }
    }

    fn change(&mut self, change: Churn) {
        match change {
            Churn::Join => self.join(self.sims.len()),
            Churn::Flap => {
                let flapper = self.live().into_iter().find(|at| self.is_flapper(*at));
                if let Some(at) = flapper {
                    self.leave(at);
                }
                self.schedule(self.now + FLAP, Event::Return(0));
            }
            Churn::Leave(choice) => {
                let live: Vec<_> = self.live();
                let stable: Vec<_> = live.iter().filter(|at| !self.is_flapper(**at)).collect();
                let at = *stable[choice as usize % stable.len()];
                self.leave(at);
            }
        }
    }

    fn is_flapper(&self, at: usize) -> bool {
        self.sims[at].engine.name.as_str() == "engine-0"
    }

    fn join(&mut self, number: usize) {
        self.sims.push(Sim::new(number, self.now, self.now));
    }

    fn leave(&mut self, at: usize) {
        self.sims[at].left = Some(self.now);
        let name = self.sims[at].engine.name.clone();
        self.failures.entry(name).or_default().push(self.now);
    }

    /// Returns whether the set of engines has changed within the last [`SPLIT`].
    fn is_split(&self) -> bool {
        let from = self.now.saturating_sub(SPLIT);
        self.sims.iter().any(|sim| sim.changed_since(from))
    }

    fn live(&self) -> Vec<usize> {
        let live = |at: &usize| self.sims[*at].is_live(self.now);
        (0..self.sims.len()).filter(live).collect()
    }

    fn sample(&mut self) {
        let now = self.now;
        self.sims.iter_mut().for_each(|sim| sim.record(now));
        let loads: Vec<_> = self
            .live()
            .iter()
            .map(|at| self.sims[*at].in_flight)
            .collect();
        self.report.sample(&loads, FACTOR);
        self.schedule(now + SAMPLE, Event::Sample);
    }

    fn arrive(&mut self, turn: usize, since: u64) {
        let Turn { chat, work, .. } = self.turns[turn];
        let (router, ordered) = self.order(chat);
        let hint = self.hint(chat);
        let named = |at: &&usize| hint.position(&self.sims[**at].engine).is_some();
        let warm = ordered.iter().filter(named).count();
        let may_wait = warm > 0 && self.now < since + self.policy.wait;
        let tried = if may_wait {
            &ordered[..warm]
        } else {
            &ordered[..]
        };
        let mut warm_first = tried.to_vec();
        if self.policy.warm_by_load {
            let loads = &self.known[router];
            let load = |at: &usize| loads.get(&self.sims[*at].engine, self.now).unwrap_or(0);
            warm_first[..warm].sort_by_key(load);
        }
        let tried = &warm_first;
        let grant = self.next;
        let granted = self.try_each(router, tried, warm, grant);
        match granted {
            Some(at) => {
                self.place(at, chat, work, grant);
                self.remember(router, at, chat);
            }
            None if may_wait || self.now < since + QUEUE => {
                self.schedule(self.now + TRY_AGAIN, Event::Arrive { turn, since });
                return;
            }
            None => self.report.refused += 1,
        }
        self.report.waited(self.now - since);
    }

    /// Tries the engines in order, below the bound for what they cache, then below the bound.
    fn try_each(
        &mut self,
        router: usize,
        tried: &[usize],
        warm: usize,
        grant: u64,
    ) -> Option<usize> {
        for (number, at) in tried.iter().enumerate() {
            let factor = if number < warm {
                FACTOR
            } else {
                self.policy.fresh
            };
            if self.acquire(router, *at, grant, factor) {
                return Some(*at);
            }
        }
        if self.policy.fresh >= FACTOR {
            return None;
        }
        let cold = tried.iter().skip(warm).copied();
        let cold: Vec<_> = cold.collect();
        cold.into_iter()
            .find(|at| self.acquire(router, *at, grant, FACTOR))
    }

    fn acquire(&mut self, router: usize, at: usize, grant: u64, factor: f64) -> bool {
        let steward = self.steward_of(at);
        if !self.sims[at].is_live(self.now) {
            return false;
        }
        if self.policy.choice != Choice::Bounded {
            return true;
        }
        if steward != router {
            self.report.calls += 1;
        }
        let bound = self.bound(steward, at, factor);
        let now = Instant::from_micros(self.now);
        let engine = self.sims[at].engine.clone();
        if self.steward.take_over(&engine, now) {
            let book = HandOver {
                incarnation: engine.incarnation,
                holders: Vec::new(),
                unattributed: 0,
                complete: true,
            };
            self.steward.accept(&engine.name, book, now);
        }
        let reply = self
            .steward
            .grant(&engine, self.holder(grant), Trust::Ordinary, bound, now);
        let in_flight = self.sims[at].in_flight;
        self.known[router].note(&engine.name, in_flight, self.now);
        reply == GrantReply::Granted
    }

    fn holder(&self, grant: u64) -> Holder {
        Holder {
            router: self.names[0].clone(),
            incarnation: Incarnation(1),
            grant: GrantId(grant),
        }
    }

    /// Returns the bound as the steward knows it: its own engine's load, others' by gossip.
    fn bound(&mut self, steward: usize, at: usize, factor: f64) -> u32 {
        let mut pool = PoolLoad::default();
        for (other, sim) in self.sims.iter().enumerate() {
            if !sim.is_seen(steward, self.now) {
                continue;
            }
            pool.engines += 1;
            pool.in_flight += if other == at {
                sim.in_flight
            } else {
                sim.load_at(self.heard())
            };
        }
        let now = Instant::from_micros(self.now);
        let lowest = self.floors[steward].observe(pool, now);
        let cautious = cautious_factor(lowest, factor);
        let (load, factor) = match self.policy.mean {
            Mean::Heard => (pool, factor),
            Mean::Floor => (lowest, factor),
            Mean::Cautious => (lowest, cautious),
            Mean::CautiousAndOne => {
                let engines = lowest.engines + 1;
                (PoolLoad { engines, ..lowest }, cautious)
            }
        };
        load_bound(load, factor)
    }

    fn place(&mut self, at: usize, chat: u32, work: u64, grant: u64) {
        let live = self.live();
        let total: u32 = live.iter().map(|at| self.sims[*at].in_flight).sum();
        let mean = f64::from(total) / live.len() as f64;
        let over = f64::from(self.sims[at].in_flight) >= (FACTOR * mean).ceil().max(1.0);
        let warm = self.sims[at].start(chat);
        let before = self.served.insert(chat, at);
        self.report.over_split += u64::from(over && self.is_split());
        self.report
            .place(before.map(|before| before == at), warm, over);
        let took = work + if warm { 0 } else { COLD };
        self.schedule(self.now + took, Event::Finish { engine: at, grant });
    }

    fn remember(&mut self, router: usize, at: usize, chat: u32) {
        let engine = self.sims[at].engine.clone();
        match self.policy.memory {
            Memory::None => {}
            Memory::Hint(entries) => {
                let hint = self.memory.entry(chat).or_default();
                *hint = hint.with_served_by(&engine).with_entries(entries);
            }
            Memory::Directory => {
                let home = self.home(chat);
                // One call to read the entry and one to write it.
                self.report.calls += if home == router { 0 } else { 2 };
                self.directories[home].note(&chat_id(chat), &engine);
            }
        }
    }

    fn finish(&mut self, at: usize, grant: u64) {
        let holder = self.holder(grant);
        self.sims[at].in_flight -= 1;
        let name = &self.sims[at].engine.name;
        self.steward.release(
            name,
            &holder.router,
            holder.incarnation,
            holder.grant,
            Instant::from_micros(self.now),
        );
        self.report.finished += 1;
    }
}

fn chat_id(chat: u32) -> ChatId {
    ChatId::new(&format!("chat-{chat}")).expect("a name")
}
