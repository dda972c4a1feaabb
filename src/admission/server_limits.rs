//! Limits on the rate of requests that servers name, kept by all routers together.
//!
//! Load pattern: servers in need name a fraction of the requests that they get, while callers and
//! returning sessions press on. Each server gets its requests from all routers, so that the share of
//! one router may be a request in ten seconds.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    catalog::{Server, ServerKey},
    sync::lock,
    Instant,
};

/// Time for which a response without a limit does not end a limit that another one has just named,
/// as responses may overtake each other.
const REORDER_TIME: Duration = Duration::from_millis(500);

/// Time without a response after which the limit of a server is forgotten.
const LIMIT_TTL: Duration = Duration::from_secs(120);

/// Requests a second that a server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit {
    per_1000_s: u32,
}

impl RateLimit {
    /// Returns a limit of `per_second` requests a second, or `None` unless that is a number of at
    /// least 0.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then_some(RateLimit {
            per_1000_s: (per_second * 1_000.0) as u32,
        })
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }
}

/// Limits that servers have named, as known to this router.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: Mutex<BTreeMap<ServerKey, Entry>>,
}

/// What is known of a server that names a limit, or did so lately.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The limit, or `None` since a response named none.
    limit: Option<RateLimit>,
    /// Time of the response that tells so.
    heard: Instant,
}

impl ServerLimits {
    /// Records the limit that a response names, or that it names none.
    pub fn record_response(&self, server: &Server, limit: Option<RateLimit>, now: Instant) {
        let key = server.key();
        let mut servers = lock(&self.servers);
        if limit.is_none() && !servers.contains_key(&key) {
            return;
        }
        servers.retain(|_, entry| now.since(entry.heard) < LIMIT_TTL);
        let known = servers.get(&key).copied();
        let was_just_named = known
            .is_some_and(|known| known.limit.is_some() && now.since(known.heard) < REORDER_TIME);
        if limit.is_none() && was_just_named {
            return;
        }
        let before = known.and_then(|known| known.limit);
        if before != limit {
            log::info!(
                "server limit changed server={} per_s={:?} before_per_s={:?}",
                server.name,
                limit.map(RateLimit::per_second),
                before.map(RateLimit::per_second)
            );
        }
        servers.insert(key, Entry { limit, heard: now });
    }
}
