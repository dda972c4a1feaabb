//! Servers that announce in their responses that they leave.
//!
//! Load pattern: a server leaves while this router cannot reach the list of servers, or before the
//! list says so. Only its last responses show it then.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Server, ServerKey};
use crate::{Instant, PoolName};

/// Time after the last announcement from which a server that the list still names as running is
/// used again.
///
/// It is longer than any drain, so that it only ends for a server that did not leave.
const DEPARTURE_TTL: Duration = Duration::from_secs(120);

/// Maximum number of servers whose announcements are kept.
const MAX_DEPARTURES: usize = 1_024;

/// Incarnations of servers that have announced that they leave.
#[derive(Debug, Default)]
pub struct Departures {
    servers: BTreeMap<ServerKey, Departure>,
}

/// Report of a server that has announced that it leaves, for routers that start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureReport {
    /// The server.
    pub server: ServerKey,
    /// Time until its last known announcement ends, in milliseconds.
    pub remaining_millis: u64,
}

/// The announcements of one server.
#[derive(Debug, Clone, Copy)]
struct Departure {
    ends_at: Instant,
    /// Whether this router received a response with the announcement itself.
    is_own: bool,
}

impl Departures {
    /// Records that this router received a response in which a server announces that it leaves;
    /// returns whether this router had received none before.
    pub fn record(&mut self, key: ServerKey, now: Instant) -> bool {
        self.insert(key, true, now + DEPARTURE_TTL)
    }

    /// Returns what is known of the servers among `listed` that the list names as running.
    pub fn reports<'a>(
        &self,
        listed: impl Iterator<Item = &'a Server>,
        now: Instant,
    ) -> Vec<DepartureReport> {
        let running = listed.filter(|server| !server.leaving).map(Server::key);
        let report = |server| {
            let departure = self.servers.get(&server)?;
            let remaining = departure.ends_at.since(now).as_millis();
            Some(DepartureReport {
                server,
                remaining_millis: remaining as u64,
            })
        };
        running.filter_map(report).collect()
    }

    /// Records what another router reports; returns whether any server was unknown.
    ///
    /// The announcements end when they do at that router.
    pub fn receive_reports(&mut self, reports: &[DepartureReport], now: Instant) -> bool {
        let mut has_news = false;
        for report in reports {
            let remaining = Duration::from_millis(report.remaining_millis);
            let ends_at = now + remaining.min(DEPARTURE_TTL);
            has_news |= self.insert(report.server, false, ends_at);
        }
        has_news
    }

    /// Records the servers whose announcements another router has received; returns whether any was
    /// unknown.
    pub fn receive(&mut self, keys: &[ServerKey], now: Instant) -> bool {
        let mut has_news = false;
        for key in keys {
            has_news |= self.insert(*key, false, now + DEPARTURE_TTL);
        }
        has_news
    }

    /// Returns the servers among `listed` that the list names as running and whose announcements this
    /// router has received itself.
    pub fn own_among<'a>(&self, listed: impl Iterator<Item = &'a Server>) -> Vec<ServerKey> {
        // The common case, on the path of each digest.
        if self.servers.is_empty() {
            return Vec::new();
        }
        let running = listed.filter(|server| !server.leaving).map(Server::key);
        let is_own = |key: &ServerKey| self.servers.get(key).is_some_and(|known| known.is_own);
        running.filter(is_own).collect()
    }

    /// Forgets announcements older than 120 s; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.servers.len();
        self.servers.retain(|_, departure| now < departure.ends_at);
        self.servers.len() < before
    }

    /// Returns `listed` with the servers that have announced that they leave marked as leaving.
    ///
    /// A pool is not emptied by the word of other routers alone.
    pub fn apply<'a>(&self, listed: impl Iterator<Item = &'a Server>) -> Vec<Server> {
        let mut servers: Vec<_> = listed.cloned().collect();
        if self.servers.is_empty() {
            return servers;
        }
        let departure = |server: &Server| self.servers.get(&server.key());
        let is_running = |server: &&Server| !server.leaving && departure(server).is_none();
        let running: BTreeSet<PoolName> = servers
            .iter()
            .filter(is_running)
            .map(|server| server.pool.clone())
            .collect();
        for server in &mut servers {
            if let Some(departure) = departure(server) {
                server.leaving |= departure.is_own || running.contains(&server.pool);
            }
        }
        servers
    }

    fn insert(&mut self, key: ServerKey, is_own: bool, ends_at: Instant) -> bool {
        if self.servers.len() >= MAX_DEPARTURES && !self.servers.contains_key(&key) {
            return false;
        }
        let known = self.servers.get(&key).copied();
        let is_own_known = known.is_some_and(|known| known.is_own);
        let departure = Departure {
            ends_at: known.map_or(ends_at, |known| known.ends_at.max(ends_at)),
            is_own: is_own || is_own_known,
        };
        self.servers.insert(key, departure);
        known.is_none() || is_own && !is_own_known
    }
}
