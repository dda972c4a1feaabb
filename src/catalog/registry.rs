//! Tracks which servers exist, from the changes and outages of the platform's server list.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Server;
use crate::{EngineName, Instant};

/// Time after an outage of the list within which running servers register again.
///
/// The platform specifies about two seconds.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// Time without an answer from the list that counts as an outage, in which entries of running
/// servers may expire.
///
/// The list drops an entry after three missed heartbeats of 1.2 s, one of which may have been
/// due just before the outage. Removals after a shorter gap are genuine.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_400);

/// State of one name in the list of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// The list has an entry for the server.
    Present(Server),
    /// The list has no readable entry under this name.
    Absent(EngineName),
}

/// The servers that are assumed to be running, across changes and outages of the list.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: BTreeMap<EngineName, Server>,
    /// Servers that are not in the list but stay until `removals_allowed_at`, as they may
    /// register again.
    missing: BTreeSet<EngineName>,
    /// Earliest time at which the last answer from the list, to this or another router, can have
    /// been given, or time of the first failure if it never answered.
    last_answer: Option<Instant>,
    /// Time until which removals are delayed because of an outage.
    removals_allowed_at: Instant,
}

impl ServerRegistry {
    /// Creates a registry with the servers that another router knows.
    pub fn with_servers(servers: impl IntoIterator<Item = Server>) -> Self {
        let servers = servers.into_iter().map(|s| (s.name.clone(), s)).collect();
        ServerRegistry {
            servers,
            ..ServerRegistry::default()
        }
    }

    /// Records that the list failed to answer at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_answer.get_or_insert(now);
    }

    /// Records that the list answered this or another router at some time between `earliest` and
    /// `latest`.
    ///
    /// While it answers others, a failure of this router's own calls is no outage.
    pub fn record_answer_between(&mut self, earliest: Instant, latest: Instant) {
        if self
            .last_answer
            .is_some_and(|last| latest.since(last) > OUTAGE_THRESHOLD)
        {
            self.removals_allowed_at = latest + REREGISTRATION_TIME;
        }
        self.last_answer = self.last_answer.max(Some(earliest));
    }

    /// Applies the changes that the list returned at `now`; returns whether the servers changed.
    ///
    /// If `is_complete` is set, the changes are the complete list, and all other names are absent.
    pub fn apply(&mut self, changes: Vec<ServerChange>, is_complete: bool, now: Instant) -> bool {
        self.record_answer_between(now, now);
        let before = self.servers.clone();
        if is_complete {
            self.mark_unlisted(&changes);
        }
        for change in changes {
            match change {
                ServerChange::Present(server) => {
                    self.missing.remove(&server.name);
                    self.servers.insert(server.name.clone(), server);
                }
                ServerChange::Absent(name) => {
                    self.missing.insert(name);
                }
            }
        }
        if now >= self.removals_allowed_at {
            for name in std::mem::take(&mut self.missing) {
                self.servers.remove(&name);
            }
        }
        before != self.servers
    }

    /// Returns the servers that are assumed to be running.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    fn mark_unlisted(&mut self, changes: &[ServerChange]) {
        let is_listed = |name: &EngineName| {
            let mut present = changes.iter();
            present.any(|change| matches!(change, ServerChange::Present(s) if s.name == *name))
        };
        let unlisted = self.servers.keys().filter(|name| !is_listed(name));
        self.missing.extend(unlisted.cloned());
    }
}
