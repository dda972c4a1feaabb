//! The order in which engines are tried for a chat.

use std::sync::Arc;

use super::{score, Hint};
use crate::membership::Engine;

/// Maximum number of engines tried in rendezvous order for one request.
pub const MAX_RANKED_ENGINES: usize = 8;

/// Returns the engines to try for `chat`, the best first.
///
/// Engines in the hint come first, as long as the same incarnation is among `engines`, so
/// that a joining engine does not move a warm chat (one whose prompt its engine holds in
/// cache). The first `ranks` of the other engines in rendezvous order follow.
pub fn preferred_engines<'a>(
    chat: &str,
    hint: &Hint,
    engines: impl IntoIterator<Item = &'a Arc<Engine>>,
    ranks: usize,
) -> Vec<Arc<Engine>> {
    let mut warm = Vec::new();
    let mut ranked = TopRanked::new(ranks);
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

/// Collects the `limit` engines with the highest scores, the highest first.
struct TopRanked<'a> {
    limit: usize,
    best: Vec<(u64, &'a Arc<Engine>)>,
}

impl<'a> TopRanked<'a> {
    fn new(limit: usize) -> Self {
        TopRanked {
            limit,
            best: Vec::with_capacity(limit + 1),
        }
    }

    fn offer(&mut self, score: u64, engine: &'a Arc<Engine>) {
        let is_full = self.best.len() == self.limit;
        if is_full && self.best.last().is_none_or(|(last, _)| score <= *last) {
            return;
        }
        let index = self.best.partition_point(|(other, _)| *other >= score);
        self.best.insert(index, (score, engine));
        self.best.truncate(self.limit);
    }
}
