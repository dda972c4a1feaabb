//! The seeded trace of requests and of changes of the set of engines.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One second in the unit of simulated time, the microsecond.
pub const SECOND: u64 = 1_000_000;

/// Number of teams, of which the first two surge.
const TEAMS: u64 = 10;

/// New chats per second and engine outside a surge.
const CHATS_PER_SECOND: f64 = 0.15;

/// Factor by which a surge raises the rate of new chats of a team.
const SURGE_FACTOR: f64 = 10.0;

/// Probability that a chat continues after an answer.
const CONTINUATION_PROBABILITY: f64 = 0.84;

/// One request of a chat.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Time at which the request is sent, in microseconds.
    pub at: u64,
    /// Chat that the request belongs to.
    pub chat: u32,
    /// Duration on an engine that caches the prefix, in microseconds.
    pub work: u64,
}

/// A change of the set of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChange {
    /// A new engine joins.
    Join,
    /// An engine leaves permanently; the number selects which.
    Leave(u32),
    /// `engine-0` leaves and returns after a short time with an empty cache.
    Flap,
}

/// Returns the requests of a run in order of time.
pub fn turns(seed: u64, seconds: u64, engines: usize) -> Vec<Turn> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut turns = Vec::new();
    let mut chat = 0;
    for team in 0..TEAMS {
        let mut at = 0.0;
        while at < seconds as f64 {
            let surging = team < 2 && (0.4..0.45).contains(&(at / seconds as f64));
            let factor = if surging { SURGE_FACTOR } else { 1.0 };
            let rate = CHATS_PER_SECOND * engines as f64 * factor;
            at += exponential(&mut rng, TEAMS as f64 / rate);
            chat_turns(&mut rng, &mut turns, chat, at, seconds);
            chat += 1;
        }
    }
    turns.sort_by_key(|turn| (turn.at, turn.chat));
    turns
}

fn chat_turns(rng: &mut Pcg64Mcg, turns: &mut Vec<Turn>, chat: u32, start: f64, seconds: u64) {
    let mut at = start;
    while at < seconds as f64 {
        let long = rng.random_bool(0.25);
        let work = exponential(rng, if long { 20.0 } else { 2.0 });
        turns.push(Turn {
            at: micros(at),
            chat,
            work: micros(work),
        });
        if !rng.random_bool(CONTINUATION_PROBABILITY) {
            return;
        }
        let pause = if rng.random_bool(0.8) { 40.0 } else { 300.0 };
        at += work + 3.0 + exponential(rng, pause);
    }
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

fn micros(seconds: f64) -> u64 {
    (seconds * SECOND as f64) as u64
}

/// Returns the changes of the set of engines, one every `period` seconds.
pub fn engine_changes(seed: u64, seconds: u64, period: u64) -> Vec<(u64, EngineChange)> {
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    let change = |number: u64| {
        let change = match number % 4 {
            1 => EngineChange::Leave(rng.random()),
            2 => EngineChange::Join,
            _ => EngineChange::Flap,
        };
        (number * period * SECOND, change)
    };
    (1..seconds / period).map(change).collect()
}
