//! The engines to try for a chat.

use std::{cmp::Reverse, sync::Arc};

use super::{score, Hint};
use crate::membership::Engine;

/// Most engines tried by rank for one request.
pub const MAX_RANKS: usize = 8;

/// Order in which engines that the hint does not name are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spill {
    /// By rendezvous rank.
    NextRank,
    /// The first rank, then the others by load.
    RankThenLoad,
    /// By load; rank decides between equal loads.
    LeastLoaded,
}

/// How the engines for a chat are ordered.
#[derive(Clone, Copy)]
pub struct Preference<'a> {
    /// Engines considered by rank, at most [`MAX_RANKS`].
    pub ranks: usize,
    /// Order of the engines that the hint does not name.
    pub spill: Spill,
    /// Last known load of an engine, `None` when unknown.
    pub load: &'a dyn Fn(&Engine) -> Option<u32>,
}

/// Returns the engines to try for `chat`, the best first.
///
/// Engines named by the hint come first while the same life of them is among
/// `engines`, so that a joining engine does not move a warm chat. The others are the
/// first ranks in rendezvous order, arranged as `pref` says.
pub fn preferred<'a>(
    chat: &str,
    hint: &Hint,
    engines: impl IntoIterator<Item = &'a Arc<Engine>>,
    pref: &Preference<'_>,
) -> Vec<Arc<Engine>> {
    let mut warm = Vec::new();
    let mut ranked = Ranked::new(pref.ranks.min(MAX_RANKS));
    let hash = score::key(chat);
    for engine in engines {
        match hint.position(engine) {
            Some(position) => warm.push((position, engine)),
            None => ranked.offer(score::node(hash, engine.name.as_str()), engine),
        }
    }
    warm.sort_by_key(|(position, _)| *position);
    let warm = warm.into_iter().map(|(_, engine)| engine);
    warm.chain(ranked.arrange(pref)).cloned().collect()
}

/// The engines with the highest scores, the highest first.
struct Ranked<'a> {
    limit: usize,
    best: Vec<(u64, &'a Arc<Engine>)>,
}

impl<'a> Ranked<'a> {
    fn new(limit: usize) -> Self {
        Ranked {
            limit,
            best: Vec::with_capacity(limit + 1),
        }
    }

    fn offer(&mut self, score: u64, engine: &'a Arc<Engine>) {
        let full = self.best.len() == self.limit;
        if full && self.best.last().is_none_or(|(last, _)| score <= *last) {
            return;
        }
        let at = self.best.partition_point(|(other, _)| *other >= score);
        self.best.insert(at, (score, engine));
        self.best.truncate(self.limit);
    }

    fn arrange(mut self, pref: &Preference<'_>) -> impl Iterator<Item = &'a Arc<Engine>> {
        let kept = match pref.spill {
            Spill::NextRank => self.best.len(),
            Spill::RankThenLoad => self.best.len().min(1),
            Spill::LeastLoaded => 0,
        };
        // An engine of unknown load comes before one that is known to be busy.
        self.best[kept..].sort_by_cached_key(|(score, engine)| {
            ((pref.load)(engine).unwrap_or(0), Reverse(*score))
        });
        self.best.into_iter().map(|(_, engine)| engine)
    }
}
