//! Rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the rendezvous score of `node` for `key`; the highest score wins.
pub fn score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns `nodes` in the order of their scores for `key`, the highest first.
pub fn order<T: Clone>(key: &str, nodes: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(|node| std::cmp::Reverse(score(key, name(node))));
    ranked
}

/// Returns the node with the highest score for `key`.
pub fn first<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    nodes: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    nodes.max_by_key(|node| score(key, (*node).as_ref()))
}
