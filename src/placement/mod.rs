//! Chooses engines for requests: for a chat, hinted engines and then rendezvous order; for other
//! requests, by the parts of the prompt.

mod affinity;
mod directory;
mod hint;
mod preferred;
mod prefill;
mod prompt;
mod rendezvous;
mod score;

pub use self::{
    affinity::{SessionAffinity, SessionKey, SessionPlacement},
    directory::ChatDirectory,
    hint::{Hint, HintEntry, MAX_HINT_ENTRIES},
    preferred::{preferred_engines, MAX_RANKED_ENGINES},
    prefill::{Prefill, PrefillUpdate, Prefills, MIN_ANNOUNCED_TOKENS},
    prompt::{
        busiest_over_mean, pick_by_session, pick_by_two_choices, Candidate, LoadBound, PromptPart,
        SharedPrompt,
    },
    rendezvous::{rendezvous_first, rendezvous_order, rendezvous_score},
};

use std::sync::Arc;

use crate::membership::Engine;

/// Returns all engines for the key, the best first, regardless of load.
///
/// Engines in the hint come first, as long as the same incarnation is among `engines`; the
/// others follow in rendezvous order.
pub fn candidates(key: &str, hint: &Hint, engines: &[Arc<Engine>]) -> Vec<Arc<Engine>> {
    let mut ranked = rendezvous_order(key, engines, |engine| engine.name.as_str());
    let hint_position = |engine: &Arc<Engine>| hint.position(engine).unwrap_or(usize::MAX);
    ranked.sort_by_key(hint_position);
    ranked
}
