//! Virtual time: drives one policy through the trace.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

use ebonyspur::{
    membership::{Engine, PoolLoad},
    placement::{self, Hint, KnownLoads, Preference},
    steward::{load_bound, GrantId, GrantReply, Holder, Steward},
    Incarnation, Instant, RouterName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    engines::{Sim, SAMPLE},
    policy::{Choice, Memory, Policy, Source},
    report::Report,
    trace::{Churn, Turn, SECOND},
};

/// Routers of the fleet.
pub const ROUTERS: usize = 19;

/// Engines at the start.
pub const ENGINES: usize = 12;

/// Bound as a multiple of the mean.
pub const FACTOR: f64 = 1.25;

/// Time that a cold prefix adds.
const COLD: u64 = SECOND;

/// Time between two tries while waiting.
const TRY_AGAIN: u64 = SECOND / 10;

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
    turns: &'a [Turn],
    churn: &'a [(u64, Churn)],
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sims: Vec<Sim>,
    steward: Steward,
    known: Vec<KnownLoads>,
    memory: HashMap<u32, Hint>,
    served: HashMap<u32, usize>,
    rng: Pcg64Mcg,
    next: u64,
    names: Vec<RouterName>,
    report: Report,
}

impl<'a> World<'a> {
    /// Creates the world before its first event.
    pub fn new(policy: Policy, seed: u64, turns: &'a [Turn], churn: &'a [(u64, Churn)]) -> Self {
        let name = |number| RouterName::new(&format!("router-{number}")).expect("a name");
        let mut world = World {
            policy,
            turns,
            churn,
            now: 0,
            events: BinaryHeap::new(),
            sims: (0..ENGINES).map(|number| Sim::new(number, 0, 0)).collect(),
            steward: Steward::default(),
            known: (0..ROUTERS).map(|_| KnownLoads::default()).collect(),
            memory: HashMap::new(),
            served: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next: 0,
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
        let warm = self.memory.get(&chat).map_or(0, |hint| {
            let named = |at: &&usize| hint.position(&self.sims[**at].engine).is_some();
            ordered.iter().filter(named).count()
        });
        let may_wait = warm > 0 && self.now < since + self.policy.wait;
        let tried = if may_wait {
            &ordered[..warm]
        } else {
            &ordered[..]
        };
        let grant = self.next;
        let granted = tried
            .iter()
            .find(|at| self.acquire(router, **at, grant))
            .copied();
        match granted {
            Some(at) => self.place(at, chat, work, grant),
            None if may_wait => {
                self.schedule(self.now + TRY_AGAIN, Event::Arrive { turn, since });
                return;
            }
            None => self.report.refused += 1,
        }
        self.report.waited(self.now - since);
    }

    /// Returns the router that the request reaches, and the engines it tries.
    fn order(&mut self, chat: u32) -> (usize, Vec<usize>) {
        let asked = self.rng.random_range(0..ROUTERS);
        let ordered = self.ordered_by(asked, chat);
        if ordered.is_empty() || self.rng.random_bool(STALE) {
            return (asked, ordered);
        }
        let router = self.steward_of(ordered[0]);
        (router, self.ordered_by(router, chat))
    }

    fn steward_of(&self, at: usize) -> usize {
        let name = self.sims[at].engine.name.as_str();
        let first = placement::first(name, self.names.iter()).expect("a router");
        self.names
            .iter()
            .position(|other| other == first)
            .expect("a router")
    }

    fn ordered_by(&self, router: usize, chat: u32) -> Vec<usize> {
        let seen = |at: &usize| self.sims[*at].is_seen(router, self.now);
        let seen: Vec<usize> = (0..self.sims.len()).filter(seen).collect();
        match self.policy.choice {
            Choice::LeastLoaded => self.by_key(seen, |at| self.sims[at].gossiped(self.now)),
            Choice::Oracle => {
                let live = self.live();
                self.by_key(live, |at| {
                    (!self.sims[at].caches(chat), self.sims[at].in_flight)
                })
            }
            Choice::Bounded | Choice::First => self.preferred(router, chat, &seen),
        }
    }

    fn by_key<K: Ord>(&self, mut engines: Vec<usize>, key: impl Fn(usize) -> K) -> Vec<usize> {
        engines.sort_by_key(|at| key(*at));
        engines
    }

    fn preferred(&self, router: usize, chat: u32, seen: &[usize]) -> Vec<usize> {
        let known = self.known[router].lock();
        let now = Instant::from_micros(self.now);
        let load = |engine: &Engine| match self.policy.source {
            Source::Replies => known.get(engine, now),
            Source::Gossip => Some(self.sims[self.find(engine)].gossiped(self.now)),
            Source::Exact => Some(self.sims[self.find(engine)].in_flight),
        };
        let pref = Preference {
            ranks: self.policy.ranks,
            spill: self.policy.spill,
            load: &load,
        };
        let hint = self.memory.get(&chat).cloned().unwrap_or_default();
        let engines: Vec<Arc<Engine>> = seen
            .iter()
            .map(|at| self.sims[*at].engine.clone())
            .collect();
        let ordered = placement::preferred(&format!("chat-{chat}"), &hint, &engines, &pref);
        ordered.iter().map(|engine| self.find(engine)).collect()
    }

    fn find(&self, engine: &Engine) -> usize {
        let same = |sim: &Sim| {
            sim.engine.incarnation == engine.incarnation && sim.engine.name == engine.name
        };
        self.sims.iter().rposition(same).expect("an engine")
    }

    fn acquire(&mut self, router: usize, at: usize, grant: u64) -> bool {
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
        let bound = self.bound(steward, at);
        let now = Instant::from_micros(self.now);
        let engine = self.sims[at].engine.clone();
        let reply = self.steward.grant(&engine, self.holder(grant), bound, now);
        let in_flight = self.sims[at].in_flight;
        self.known[router].lock().note(&engine.name, in_flight, now);
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
    fn bound(&self, steward: usize, at: usize) -> u32 {
        let mut pool = PoolLoad::default();
        for (other, sim) in self.sims.iter().enumerate() {
            if !sim.is_seen(steward, self.now) {
                continue;
            }
            pool.engines += 1;
            pool.in_flight += if other == at {
                sim.in_flight
            } else {
                sim.gossiped(self.now)
            };
        }
        load_bound(pool, FACTOR)
    }

    fn place(&mut self, at: usize, chat: u32, work: u64, grant: u64) {
        let live = self.live();
        let total: u32 = live.iter().map(|at| self.sims[*at].in_flight).sum();
        let mean = f64::from(total) / live.len() as f64;
        let over = f64::from(self.sims[at].in_flight) >= (FACTOR * mean).ceil().max(1.0);
        let warm = self.sims[at].start(chat);
        let before = self.served.insert(chat, at);
        self.report
            .place(before.map(|before| before == at), warm, over);
        let took = work + if warm { 0 } else { COLD };
        self.schedule(self.now + took, Event::Finish { engine: at, grant });
        if let Memory::Hint(entries) = self.policy.memory {
            let hint = self.memory.entry(chat).or_default();
            *hint = hint
                .with_served_by(&self.sims[at].engine)
                .with_entries(entries);
        }
    }

    fn finish(&mut self, at: usize, grant: u64) {
        let holder = self.holder(grant);
        self.sims[at].in_flight -= 1;
        let name = &self.sims[at].engine.name;
        self.steward
            .release(name, &holder.router, holder.incarnation, holder.grant);
        self.report.finished += 1;
    }
}
