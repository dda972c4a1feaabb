//! Chooses the engine for a chat: hints first, then weighted rendezvous order.

mod hint;
mod rank;

pub use self::{
    hint::{Hint, HintEntry, MAX_HINT_ENTRIES},
    rank::{first, order, score},
};

use std::sync::Arc;

use crate::membership::Engine;

/// Returns the engines to try for the chat `key`, the best first.
///
/// Engines named by the hint come first while the same life of them still takes work;
/// the others follow in rendezvous order.
pub fn candidates(key: &str, hint: &Hint, engines: &[Arc<Engine>]) -> Vec<Arc<Engine>> {
    let mut ranked = order(key, engines, |engine| engine.name.as_str());
    let warmth = |engine: &Arc<Engine>| hint.position(engine).unwrap_or(usize::MAX);
    ranked.sort_by_key(warmth);
    ranked
}
