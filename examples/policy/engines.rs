//! The engines of the bench: their caches, their load, and what each router sees of them.

use std::{collections::VecDeque, sync::Arc};

use ebonyspur::{membership::Engine, DomainName, EngineName, Incarnation, PoolName};

use super::trace::SECOND;

/// Chats whose prefix an engine caches.
const CACHED_CHATS: usize = 150;

/// Longest time until a router learns of a change.
pub const SPLIT: u64 = 5 * SECOND;

/// Time between two recorded loads.
pub const SAMPLE: u64 = SECOND / 10;

/// One life of an engine.
pub struct Sim {
    /// The engine as routers know it.
    pub engine: Arc<Engine>,
    /// Requests in flight.
    pub in_flight: u32,
    /// When it stopped taking work.
    pub left: Option<u64>,
    /// Whether it has stood above the bound since a request was placed on it at the bound.
    pub overfilled: bool,
    joined: u64,
    cache: VecDeque<u32>,
    history: Vec<u32>,
}

impl Sim {
    /// Creates the life `incarnation` of the engine `number`.
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
        Sim {
            engine: Arc::new(engine),
            in_flight: 0,
            left: None,
            overfilled: false,
            joined,
            cache: VecDeque::new(),
            history: Vec::new(),
        }
    }

    /// Returns whether it takes work at `now`.
    pub fn is_live(&self, now: u64) -> bool {
        self.joined <= now && self.left.is_none_or(|left| now < left)
    }

    /// Returns whether it has joined or left since `from`.
    pub fn changed_since(&self, from: u64) -> bool {
        let joined = self.joined > 0 && self.joined >= from;
        joined || self.left.is_some_and(|left| left >= from)
    }

    /// Returns whether `router` takes it for live at `now`; news is up to 5 s late.
    pub fn is_seen(&self, router: usize, now: u64) -> bool {
        let number = self.joined / SECOND + 31 * router as u64;
        let delay = |salt: u64| (number * 7 + salt * 13) % 17 * SPLIT / 17;
        let joined = self.joined == 0 || self.joined + delay(1) <= now;
        joined && self.left.is_none_or(|left| now < left + delay(2))
    }

    /// Returns whether it caches `chat`.
    pub fn caches(&self, chat: u32) -> bool {
        self.cache.contains(&chat)
    }

    /// Starts a request of `chat`; returns whether its prefix was cached.
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

    /// Records the load; called each [`SAMPLE`].
    pub fn record(&mut self, now: u64) {
        self.history.resize((now / SAMPLE) as usize, 0);
        self.history.push(self.in_flight);
    }

    /// Returns the load as it was at `then`.
    pub fn load_at(&self, then: u64) -> u32 {
        let at = then / SAMPLE;
        self.history.get(at as usize).copied().unwrap_or(0)
    }
}
