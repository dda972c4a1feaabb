//! The engines to try for a chat.

use std::sync::Arc;

use super::{score, Hint};
use crate::membership::Engine;

/// Most engines tried by rank for one request.
pub const MAX_RANKED_ENGINES: usize = 8;

/// Returns the engines to try for `chat`, the best first.
///
/// Engines named by the hint come first while the same life of them is among
/// `engines`, so that a joining engine does not move a warm chat. The others are the
/// first `ranks` in rendezvous order.
pub fn preferred<'a>(
    chat: &str,
    hint: &Hint,
    engines: impl IntoIterator<Item = &'a Arc<Engine>>,
    ranks: usize,
) -> Vec<Arc<Engine>> {
    let mut warm = Vec::new();
    let mut ranked = Ranked::new(ranks);
    let hash = score::hash_key(chat);
    for engine in engines {
        match hint.position(engine) {
            Some(position) => warm.push((position, engine)),
            None => ranked.offer(score::node_score(hash, engine.name.as_str()), engine),
        }
    }
    warm.sort_by_key(|(position, _)| *position);
    let warm = warm.into_iter().map(|(_, engine)| engine);
    let ranked = ranked.best.into_iter().map(|(_, engine)| engine);
    warm.chain(ranked).cloned().collect()
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
}
