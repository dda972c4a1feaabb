//! Places requests at model engines by the parts of their prompts.
//!
//! Requests of one session share all parts of their prompt but the last, so the part
//! before it names the session. A session stays at one engine, whose cache then holds its
//! prompt, until the engine is over a multiple of the mean load; it then spills to the
//! next engine in rendezvous order, always the same one.
//!
//! Load pattern: returning sessions, some of them asked for far more often than others, and
//! the first requests after a start, when no engine holds any prompt.

use super::score;
use crate::catalog::{Server, ServerKey};

/// Ranks among which a session without a warm engine gets the one with the least to read.
///
/// Routers hear of reads a few milliseconds late and might otherwise choose differently.
const FIRST_RANKS: usize = 3;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of the content; equal parts have equal names.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// What other requests share of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Hash by which requests of one session meet.
    pub session: u64,
    /// Hash of the beginning that many sessions share, if there is one.
    pub common: Option<u64>,
    /// Length of the shared parts, in tokens.
    pub tokens: u32,
}

impl SharedPrompt {
    /// Returns what is shared of a prompt made of `parts`, if there are any.
    pub fn from_parts(parts: &[PromptPart]) -> Option<Self> {
        let own = parts.last()?;
        let shared = &parts[..parts.len() - 1];
        let tokens = shared.iter().map(|part| part.tokens);
        Some(SharedPrompt {
            session: shared.last().unwrap_or(own).id,
            common: shared.first().filter(|_| shared.len() > 1).map(|p| p.id),
            tokens: tokens.fold(0, u32::saturating_add),
        })
    }
}

/// The load above which an engine gets no request that can go elsewhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Multiple of the mean load.
    pub factor: f64,
    /// Requests on top of it.
    pub extra: f64,
}

impl LoadBound {
    /// Returns the largest load at which an engine still takes a request.
    pub fn limit(&self, loads: impl Iterator<Item = u32>) -> f64 {
        let (count, total) = loads.fold((0u32, 0u64), |(n, sum), load| {
            (n + 1, sum + u64::from(load))
        });
        let mean = total as f64 / f64::from(count.max(1));
        self.factor * mean + self.extra
    }
}

/// An engine that could serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The engine.
    pub server: &'a Server,
    /// Requests that all routers have in flight there.
    pub load: u32,
    /// Whether it failed lately.
    pub avoided: bool,
    /// Tokens of prompts that it has to read for the first time.
    pub pending_tokens: u32,
}

/// Returns the position of the engine for `session`.
///
/// Of the engines that are not avoided and are below `limit`, one that served the session
/// lately (`warm`, the latest first) goes first. A session that has none gets the one with
/// the least to read among its first ranks in rendezvous order.
pub fn pick_by_session(
    session: u64,
    candidates: &[Candidate<'_>],
    limit: f64,
    warm: &[ServerKey],
) -> Option<usize> {
    let fits = |c: &Candidate<'_>| !c.avoided && f64::from(c.load) < limit;
    let of_key = |key: &ServerKey| candidates.iter().position(|c| c.server.key() == *key);
    let mut known = warm.iter().filter_map(of_key);
    if let Some(at) = known.find(|at| fits(&candidates[*at])) {
        return Some(at);
    }
    let key = score::hash_number(session);
    let rank = |at: &usize| score::node_score(key, candidates[*at].server.name.as_str());
    let mut ranked: Vec<_> = (0..candidates.len()).collect();
    ranked.sort_by_cached_key(|at| std::cmp::Reverse(rank(at)));
    let first = ranked
        .iter()
        .filter(|at| fits(&candidates[**at]))
        .take(FIRST_RANKS);
    let best = first.min_by_key(|at| candidates[**at].pending_tokens);
    let least = || {
        ranked
            .iter()
            .min_by_key(|at| (candidates[**at].avoided, candidates[**at].load))
    };
    best.or_else(least).copied()
}

/// Returns the less loaded one of two random servers.
///
/// Loads are heard late; the least loaded of all would get the requests of all routers.
pub fn pick_by_two_choices(
    candidates: &[Candidate<'_>],
    first: usize,
    second: usize,
) -> Option<usize> {
    let sound: Vec<_> = (0..candidates.len())
        .filter(|at| !candidates[*at].avoided)
        .collect();
    let all: Vec<_> = (0..candidates.len()).collect();
    let among = if sound.is_empty() { &all } else { &sound };
    let count = among.len();
    let one = *among.get(first % count.max(1))?;
    // The second one differs from the first while there are two.
    let other = among[(first % count + 1 + second % (count - 1).max(1)) % count];
    let better = candidates[other].load < candidates[one].load;
    Some(if better { other } else { one })
}
