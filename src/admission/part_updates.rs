//! Keys of prompt parts, and what routers tell each other about parts that crash servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Fingerprint;
use crate::{catalog::ServerKey, placement::PromptPart, PoolName};

/// Maximum number of parts in a log line.
const MAX_DESCRIBED: usize = 16;

/// Stands in a key in place of the hash of a pool if the key is that of a whole request.
///
/// Builds that know no quarantines of requests in digests pass such a key on as that of a part that no
/// prompt holds.
const WHOLE_REQUESTS: u32 = 0;

/// Identifies a part of a prompt among the requests of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    pool: u32,
    id: u64,
}

impl PartKey {
    /// Returns the keys of the parts of a prompt that other requests of the pool may share.
    ///
    /// The last part belongs to the request itself.
    pub fn shared_parts(pool: &PoolName, prompt: &[PromptPart]) -> Box<[PartKey]> {
        let pool = Self::hash_of_pool(pool);
        let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
        let keys = shared.iter();
        keys.map(|part| PartKey { pool, id: part.id }).collect()
    }

    /// Returns the key under which a request as a whole is announced.
    fn of_request(fingerprint: Fingerprint) -> Self {
        PartKey {
            pool: WHOLE_REQUESTS,
            id: fingerprint.0,
        }
    }

    /// Returns the hash that stands for a pool in keys.
    pub(super) fn hash_of_pool(pool: &PoolName) -> u32 {
        xxh3_64(pool.as_str().as_bytes()) as u32
    }

    /// Returns the hash of the pool.
    pub(super) fn pool(self) -> u32 {
        self.pool
    }
}

/// Returns a list of prompt parts as log lines show it, with the number of those left out.
pub(crate) fn describe_parts<'a>(parts: impl IntoIterator<Item = &'a PartKey>) -> String {
    let mut parts = parts.into_iter();
    let shown = parts.by_ref().take(MAX_DESCRIBED);
    let ids: Vec<_> = shown.map(|part| format!("{:x}", part.id)).collect();
    match parts.count() {
        0 => ids.join(","),
        more => format!("{},+{more}", ids.join(",")),
    }
}

/// A crash of a server and the shared parts of a request at the beginning of whose answer it was.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartCrash {
    /// Server that crashed.
    pub server: ServerKey,
    /// Parts of the request that the crash counts against.
    pub parts: Box<[PartKey]>,
}

/// Parts that together are refused, or a request that is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedParts {
    /// Parts, in order of their keys; a request is refused if it has all of them.
    pub parts: Box<[PartKey]>,
    /// Remaining time of the quarantine in milliseconds.
    pub remaining_ms: u32,
    /// Length of the quarantine in milliseconds.
    pub length_ms: u32,
}

impl QuarantinedParts {
    /// Returns the quarantine of a request.
    pub(super) fn of_request(
        fingerprint: Fingerprint,
        remaining: Duration,
        length: Duration,
    ) -> Self {
        QuarantinedParts {
            parts: [PartKey::of_request(fingerprint)].into(),
            remaining_ms: remaining.as_millis() as u32,
            length_ms: length.as_millis() as u32,
        }
    }

    /// Returns the request that is refused, `None` if parts of prompts are.
    pub fn request(&self) -> Option<Fingerprint> {
        match *self.parts {
            [PartKey {
                pool: WHOLE_REQUESTS,
                id,
            }] => Some(Fingerprint(id)),
            _ => None,
        }
    }

    /// Returns the time since the quarantine began.
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(self.length_ms.saturating_sub(self.remaining_ms).into())
    }

    /// Returns what is left of the quarantine after `elapsed`, `None` if it has ended.
    pub fn after(self, elapsed: Duration) -> Option<Self> {
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let remaining_ms = self.remaining_ms.saturating_sub(elapsed_ms);
        (remaining_ms > 0).then_some(QuarantinedParts {
            remaining_ms,
            ..self
        })
    }
}

/// What a digest says about prompt parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdates {
    /// Crashes that the sender has observed.
    pub crashes: Vec<PartCrash>,
    /// Suspect or quarantined parts that are known good at the sender.
    pub known_good: Vec<PartKey>,
    /// Servers that have sent data after they seemed to crash, so that they did not.
    pub alive: Vec<ServerKey>,
    /// Quarantines, which a few routers at a time repeat, so that routers that start learn them.
    pub quarantined: Vec<QuarantinedParts>,
}

impl PartUpdates {
    /// Returns the number of parts that the crashes and the quarantines name.
    pub(crate) fn part_count(&self) -> usize {
        let crashes = self.crashes.iter().map(|crash| crash.parts.len());
        let quarantined = self.quarantined.iter().map(|q| q.parts.len());
        crashes.chain(quarantined).sum()
    }
}
