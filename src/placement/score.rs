//! Hashes and scores for rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of a key, which [`node_score`] takes for each node.
pub(super) fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the hash of a numeric key.
pub(super) fn hash_number(key: u64) -> u64 {
    xxh3_64(&key.to_le_bytes())
}

/// Returns the score of `node` for the key with the hash `key`.
pub(super) fn node_score(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}
