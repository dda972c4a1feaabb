//! Rendezvous hashing.

use super::score::{self as hashed};

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    hashed::node_score(hashed::hash_key(key), node)
}

/// Returns `nodes` in the order of their scores for `key`, the highest first.
pub fn rendezvous_order<T: Clone>(key: &str, nodes: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
    let mut ranked = nodes.to_vec();
    let hash = hashed::hash_key(key);
    ranked.sort_by_cached_key(|node| std::cmp::Reverse(hashed::node_score(hash, name(node))));
    ranked
}

/// Returns the node with the highest score for `key`.
pub fn rendezvous_first<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    nodes: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let hash = hashed::hash_key(key);
    nodes.max_by_key(|node| hashed::node_score(hash, (*node).as_ref()))
}
