//! Chooses the engine for a chat: hints first, then the first ranks, or by the prompt.

mod directory;
mod hint;
mod preferred;
mod prefill;
mod prompt;
mod rank;
mod score;
mod warm;

pub use self::{
    directory::Directory,
    hint::{Hint, HintEntry, MAX_HINT_ENTRIES},
    preferred::{preferred, MAX_RANKS},
    prefill::{Prefill, Prefills, ReadNews, SHORTEST_TOLD},
    prompt::{by_session, by_two_choices, Candidate, LoadBound, Part, SharedPrompt},
    rank::{first, order, score},
    warm::{Placed, SessionKey, Warmth},
};

use std::sync::Arc;

use crate::membership::Engine;

/// Returns all engines for the key, the best first, whatever their load.
///
/// Engines named by the hint come first while the same life of them takes work; the
/// others follow in rendezvous order.
pub fn candidates(key: &str, hint: &Hint, engines: &[Arc<Engine>]) -> Vec<Arc<Engine>> {
    let mut ranked = order(key, engines, |engine| engine.name.as_str());
    let warmth = |engine: &Arc<Engine>| hint.position(engine).unwrap_or(usize::MAX);
    ranked.sort_by_key(warmth);
    ranked
}
