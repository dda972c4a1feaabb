//! Tracks which servers exist, from the changes and outages of the platform's server list.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{DepartureReport, Departures, Server, ServerKey};
use crate::{EngineName, Incarnation, Instant};

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

/// Time after the list came back from a copy after which all its entries are of running servers.
///
/// Entries that nobody renews are dropped after three missed heartbeats of 1.2 s; the heartbeats
/// start again within [`REREGISTRATION_TIME`].
const RENEWAL_TIME: Duration = Duration::from_millis(3 * 1_200 + 2_200);

/// Time for which removed servers are remembered, more than the age of a copy.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

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
    /// Incarnations of removed servers, and when they were removed.
    removed: BTreeMap<EngineName, (Incarnation, Instant)>,
    /// Entries of a restored list that are older than what is known.
    doubted: BTreeMap<EngineName, Server>,
    /// Time until which entries of a restored list may be those of servers that are gone.
    doubted_until: Instant,
    /// Time from which all entries of a list are of running servers, as far as this router can
    /// tell.
    settled_from: Instant,
    /// Time at which delayed changes were applied last.
    settled_at: Instant,
    /// Servers that have announced themselves that they leave.
    departures: Departures,
}

impl ServerRegistry {
    /// Replaces the servers by those that another router knew at `now`; returns whether the
    /// servers changed.
    pub fn replace(&mut self, servers: Vec<Server>, now: Instant) -> bool {
        if now >= self.doubted_until {
            self.last_answer = None;
            self.removals_allowed_at = Instant::default();
        }
        let listed = servers.into_iter().map(ServerChange::Present).collect();
        self.apply_changes(listed, true, now)
    }

    /// Records that the first list was received at `now`, which may have come back from a copy just
    /// before.
    pub fn record_first_list(&mut self, now: Instant) {
        self.settled_from = now + RENEWAL_TIME;
    }

    /// Records that the list came back at `now` from a copy.
    ///
    /// It may lack running servers, and name leaving and removed ones as running.
    pub fn record_restoration(&mut self, now: Instant) {
        self.removals_allowed_at = now + REREGISTRATION_TIME;
        self.doubted_until = now + RENEWAL_TIME;
        self.settled_from = self.doubted_until;
    }

    /// Returns whether no entry of a list that came back from a copy can be in doubt any more.
    pub fn is_settled(&self) -> bool {
        self.settled_at >= self.settled_from
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
        self.apply_changes(changes, is_complete, now)
    }

    fn apply_changes(
        &mut self,
        changes: Vec<ServerChange>,
        is_complete: bool,
        now: Instant,
    ) -> bool {
        let before = self.servers.clone();
        if is_complete {
            self.doubted.clear();
            self.mark_unlisted(&changes);
        }
        for change in changes {
            match change {
                ServerChange::Present(server) => {
                    self.missing.remove(&server.name);
                    // A single change was written after the list came back.
                    if is_complete && now < self.doubted_until && self.is_outdated(&server) {
                        self.doubted.insert(server.name.clone(), server);
                    } else {
                        self.doubted.remove(&server.name);
                        self.removed.remove(&server.name);
                        self.servers.insert(server.name.clone(), server);
                    }
                }
                ServerChange::Absent(name) => {
                    self.doubted.remove(&name);
                    self.missing.insert(name);
                }
            }
        }
        let has_settled = self.settle(now);
        has_settled || before != self.servers
    }

    /// Removes missing servers, believes doubted entries and forgets old announcements of servers
    /// that they leave, if it is time for any; returns whether the servers changed.
    pub fn settle(&mut self, now: Instant) -> bool {
        self.settled_at = now;
        let mut changed = self.departures.expire(now);
        if now >= self.removals_allowed_at {
            for name in std::mem::take(&mut self.missing) {
                if let Some(server) = self.servers.remove(&name) {
                    changed = true;
                    self.removed.insert(name, (server.incarnation, now));
                }
            }
        }
        if now >= self.doubted_until {
            for (name, server) in std::mem::take(&mut self.doubted) {
                changed |= self.servers.get(&name) != Some(&server);
                self.removed.remove(&name);
                self.servers.insert(name, server);
            }
        }
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVED_RETENTION);
        changed
    }

    /// Returns whether more than `entry` says is known of its server.
    fn is_outdated(&self, entry: &Server) -> bool {
        match (self.servers.get(&entry.name), self.removed.get(&entry.name)) {
            (Some(known), _) => {
                let rank = |server: &Server| (server.incarnation, server.leaving);
                rank(entry) < rank(known)
            }
            (None, Some((incarnation, _))) => entry.incarnation <= *incarnation,
            (None, None) => false,
        }
    }

    /// Records that a server announced to this router that it leaves; returns whether that changes
    /// what is known.
    pub fn record_leaving(&mut self, key: ServerKey, now: Instant) -> bool {
        self.departures.record(key, now)
    }

    /// Records the servers that announced to another router that they leave; returns whether that
    /// changes what is known.
    pub fn receive_leaving(&mut self, keys: &[ServerKey], now: Instant) -> bool {
        self.departures.receive(keys, now)
    }

    /// Returns what is known of servers that announced that they leave and that the list names as
    /// running.
    pub fn departure_reports(&self, now: Instant) -> Vec<DepartureReport> {
        self.departures.reports(self.servers.values(), now)
    }

    /// Records what another router reports of servers that leave; returns whether that changes what
    /// is known.
    pub fn receive_departure_reports(&mut self, reports: &[DepartureReport], now: Instant) -> bool {
        self.departures.receive_reports(reports, now)
    }

    /// Returns the servers that announced to this router that they leave and that the list names as
    /// running.
    pub fn announced_leaving(&self) -> Vec<ServerKey> {
        self.departures.own_among(self.servers.values())
    }

    /// Returns the servers that are assumed to be running, as the list names them.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the keys of the servers that are assumed to be running.
    pub fn keys(&self) -> BTreeSet<ServerKey> {
        self.servers.values().map(Server::key).collect()
    }

    /// Returns the servers that are assumed to be running; those that have announced themselves that
    /// they leave are marked as leaving.
    pub fn effective_servers(&self) -> Vec<Server> {
        self.departures.apply(self.servers.values())
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
