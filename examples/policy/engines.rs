//! Simulated engines with their caches and loads, and the lag with which routers list them.

use std::{collections::VecDeque, sync::Arc};

use ebonyspur::{membership::Engine, DomainName, EngineName, Incarnation, PoolName};

use super::trace::SECOND;

/// Number of chats whose prefix an engine caches.
const CACHED_CHATS: usize = 150;

/// Longest time until a router learns that an engine has joined or left.
pub const MAX_ANNOUNCEMENT_LAG: u64 = 5 * SECOND;

/// Time between two samples of the loads.
pub const SAMPLE_INTERVAL: u64 = SECOND / 10;

/// A simulated engine, from its start to its stop; an engine that returns is a new one.
pub struct SimulatedEngine {
    /// The engine as routers know it.
    pub engine: Arc<Engine>,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Time at which the engine left, if it has.
    pub left: Option<u64>,
    /// Whether the load has stayed above the bound since a placement at the bound.
    pub overfilled: bool,
    /// Time at which the engine joined; 0 for the engines of the start.
    joined: u64,
    /// Cached chats, the least recently used one first.
    cache: VecDeque<u32>,
    /// Sampled loads.
    history: Vec<u32>,
}

impl SimulatedEngine {
    /// Creates the engine `engine-NUMBER` without requests and with an empty cache.
    pub fn new(number: usize, incarnation: u64, joined: u64) -> Self {
        let name = format!("engine-{number}");
        let engine = Engine {
            name: EngineName::new(&name).expect("a name"),
            pool: PoolName::new("planners").expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
            domain: DomainName::new("d1").expect("a name"),
            incarnation: Incarnation(incarnation),
            leaving: false,
        };
        SimulatedEngine {
            engine: Arc::new(engine),
            in_flight: 0,
            left: None,
            overfilled: false,
            joined,
            cache: VecDeque::new(),
            history: Vec::new(),
        }
    }

    /// Returns whether the engine takes requests at `now`.
    pub fn is_live(&self, now: u64) -> bool {
        self.joined <= now && self.left.is_none_or(|left| now < left)
    }

    /// Returns whether the engine has joined or left since `from`.
    pub fn changed_since(&self, from: u64) -> bool {
        let joined = self.joined > 0 && self.joined >= from;
        joined || self.left.is_some_and(|left| left >= from)
    }

    /// Returns whether `router` lists the engine as live at `now`.
    ///
    /// Routers learn of joins and leaves up to 5 s late, each with a delay of its own.
    pub fn is_listed_by(&self, router: usize, now: u64) -> bool {
        let number = self.joined / SECOND + 31 * router as u64;
        let delay = |salt: u64| (number * 7 + salt * 13) % 17 * MAX_ANNOUNCEMENT_LAG / 17;
        let joined = self.joined == 0 || self.joined + delay(1) <= now;
        joined && self.left.is_none_or(|left| now < left + delay(2))
    }

    /// Returns whether the engine caches the prefix of `chat`.
    pub fn caches(&self, chat: u32) -> bool {
        self.cache.contains(&chat)
    }

    /// Starts a request of `chat` and returns whether its prefix was cached.
    pub fn start(&mut self, chat: u32) -> bool {
        self.in_flight += 1;
        let at = self.cache.iter().position(|cached| *cached == chat);
        at.map(|at| self.cache.remove(at));
        self.cache.push_back(chat);
        if self.cache.len() > CACHED_CHATS {
            self.cache.pop_front();
        }
        at.is_some()
    }

    /// Samples the load; called every [`SAMPLE_INTERVAL`].
    pub fn sample_load(&mut self, now: u64) {
        self.history.resize((now / SAMPLE_INTERVAL) as usize, 0);
        self.history.push(self.in_flight);
    }

    /// Returns the load in the sample of the time `then`.
    pub fn load_at(&self, then: u64) -> u32 {
        let at = then / SAMPLE_INTERVAL;
        self.history.get(at as usize).copied().unwrap_or(0)
    }
}
