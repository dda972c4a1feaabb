//! Addresses that may belong to routers and have not answered yet.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::DIGEST_PERIOD;
use crate::Instant;

/// Time between two digests to a seed address that has not answered.
///
/// Routers of one fleet start within a third of a second of each other.
const SEED_RETRY_PERIOD: Duration = DIGEST_PERIOD;

/// Maximum time for which a seed address that never answers is contacted.
const SEED_TTL: Duration = Duration::from_secs(10);

/// Maximum number of seed addresses contacted at once.
const MAX_SEEDS: usize = 512;

/// Seed addresses that are being contacted.
#[derive(Debug, Default)]
pub(super) struct Seeds(BTreeMap<SocketAddr, Seed>);

#[derive(Debug)]
struct Seed {
    added: Instant,
    last_tried: Option<Instant>,
}

impl Seeds {
    pub(super) fn add(&mut self, address: SocketAddr, now: Instant) {
        if self.0.len() < MAX_SEEDS {
            let seed = Seed {
                added: now,
                last_tried: None,
            };
            self.0.entry(address).or_insert(seed);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the address of a router that has answered.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Returns the addresses that are due, and forgets those that never answered.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.0.retain(|_, seed| now.since(seed.added) < SEED_TTL);
        let mut due = Vec::new();
        for (address, seed) in &mut self.0 {
            let is_due = |last| now.since(last) >= SEED_RETRY_PERIOD;
            if seed.last_tried.is_none_or(is_due) {
                seed.last_tried = Some(now);
                due.push(*address);
            }
        }
        due
    }
}
