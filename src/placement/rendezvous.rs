//! Rendezvous hashing: each key goes to the node with the highest score for it.

use super::score;

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    score::node_score(score::hash_key(key), node)
}

/// Returns `nodes` ordered by their scores for `key`, the highest first.
pub fn rendezvous_order<T: Clone>(key: &str, nodes: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
    let mut ranked = nodes.to_vec();
    let hash = score::hash_key(key);
    ranked.sort_by_cached_key(|node| std::cmp::Reverse(score::node_score(hash, name(node))));
    ranked
}

/// Returns the node with the highest score for `key`.
pub fn rendezvous_first<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    nodes: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let hash = score::hash_key(key);
    nodes.max_by_key(|node| score::node_score(hash, (*node).as_ref()))
}
