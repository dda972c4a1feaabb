//! Turns what the list says into the servers that are believed to be there.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::Server;
use crate::{EngineName, Instant};

/// Time after an outage of the list within which servers that live are listed again.
///
/// The platform states about two seconds.
const REGISTER_AGAIN: Duration = Duration::from_millis(2_200);

/// Time without an answer of the list that counts as an outage, in which entries may lapse.
///
/// The list drops an entry after three heartbeats of 1.2 s, the last of which may have come
/// just before the outage. Removals after a shorter gap are true.
const OUTAGE: Duration = Duration::from_millis(2_400);

/// What the list says of one name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is there.
    Present(Server),
    /// There is no readable entry under this name.
    Absent(EngineName),
}

/// The servers as followed through changes and outages of the list.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: BTreeMap<EngineName, Server>,
    /// Servers not listed since an outage, which may be back until `settled`.
    missing: BTreeSet<EngineName>,
    answered: Option<Instant>,
    settled: Instant,
}

impl ServerRegistry {
    /// Creates a keeper that knows `servers` from another router.
    pub fn with_servers(servers: impl IntoIterator<Item = Server>) -> Self {
        let servers = servers.into_iter().map(|s| (s.name.clone(), s)).collect();
        ServerRegistry {
            servers,
            ..ServerRegistry::default()
        }
    }

    /// Notes that the list failed to answer at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.answered.get_or_insert(now);
    }

    /// Notes that the list answered somebody at `at`.
    pub fn record_answer(&mut self, at: Instant) {
        self.answered = self.answered.max(Some(at));
    }

    /// Takes over changes that the list answered at `now`; returns whether anything changed.
    ///
    /// With `whole`, names that are not among the changes are absent.
    pub fn apply(&mut self, changes: Vec<ServerChange>, whole: bool, now: Instant) -> bool {
        self.note_answer(now);
        let before = self.servers.clone();
        if whole {
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
        if now >= self.settled {
            for name in std::mem::take(&mut self.missing) {
                self.servers.remove(&name);
            }
        }
        before != self.servers
    }

    /// Returns the servers believed to be there.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    fn note_answer(&mut self, now: Instant) {
        if self.answered.is_some_and(|last| now.since(last) > OUTAGE) {
            self.settled = now + REGISTER_AGAIN;
        }
        self.record_answer(now);
    }

    fn mark_unlisted(&mut self, changes: &[ServerChange]) {
        let listed = |name: &EngineName| {
            let mut present = changes.iter();
            present.any(|change| matches!(change, ServerChange::Present(s) if s.name == *name))
        };
        let names = self.servers.keys().filter(|name| !listed(name));
        self.missing.extend(names.cloned());
    }
}
