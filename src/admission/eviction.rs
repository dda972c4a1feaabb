//! Bounds on what is remembered of each of many keys.

use std::collections::BTreeMap;

/// Removes the entries with the lowest ranks until `count` remain, of equal ranks the first keys.
pub(super) fn evict_lowest<K: Copy + Ord, V, R: Ord>(
    map: &mut BTreeMap<K, V>,
    count: usize,
    rank: impl Fn(&V) -> R,
) {
    let excess = map.len().saturating_sub(count);
    let mut ranked: Vec<_> = map.iter().map(|(key, value)| (rank(value), *key)).collect();
    ranked.sort_unstable();
    for (_, key) in ranked.into_iter().take(excess) {
        map.remove(&key);
    }
}
