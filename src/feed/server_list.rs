//! The list of servers that this router knows, and which of two lists is the newer one.

use std::cmp::Reverse;

use super::{Feed, ListVersion, Position, ServersRead, StoreEra};
use crate::{
    catalog::{Server, ServerRegistry},
    sync::lock,
    Instant,
};

/// The list of servers, with the changes applied so far.
#[derive(Debug, Default)]
pub(super) struct ServerList {
    pub(super) registry: ServerRegistry,
    /// Position in the store before which all changes are applied; `None` before the first read.
    next: Option<Position>,
    /// Whether the list is from the store, or from a router whose list was settled.
    is_source_settled: bool,
}

impl Feed {
    /// Returns the position from which the next read of the list of servers continues.
    pub fn next_servers(&self) -> Option<Position> {
        lock(&self.server_list).next
    }

    /// Returns the latest era of the store that is known from a list of servers.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.next_servers().map(|next| next.era)
    }

    /// Returns all servers and the version of the list.
    pub fn servers(&self) -> Option<(Vec<Server>, ListVersion)> {
        let server_list = lock(&self.server_list);
        let servers = server_list.registry.servers().cloned().collect();
        server_list.version().map(|version| (servers, version))
    }

    /// Applies a read of the list of servers that ended at `now`; returns whether what is known
    /// is at least as new as the read.
    ///
    /// A read that ends before the position already received from another router is ignored. If
    /// it is of an earlier era, it proves nothing about the present contents of the store.
    pub fn apply_server_list(&self, read: ServersRead, now: Instant) -> bool {
        let mut server_list = lock(&self.server_list);
        if let Some(known) = server_list.next.filter(|known| *known > read.next) {
            log_ignored("store", read.next, known);
            return known.era == read.next.era;
        }
        let before = server_list.version();
        let known = before.map(|_| server_list.registry.keys());
        server_list.advance(read.next, true, now);
        let changed = server_list.registry.apply(read.changes, read.full, now);
        let has_warm_up = self.record_cold_times(&read.cold_times, now);
        let started = known.is_some_and(|known| {
            let servers = server_list.registry.servers();
            self.record_started(servers, &known, &read.cold_times, now)
        });
        self.pass_on(&server_list, before, changed, "store");
        if !changed && (has_warm_up || started) {
            self.notify_change();
        }
        true
    }

    /// Replaces the servers by the list of another router, which arrived at `now`.
    ///
    /// Routers read the store at different times; an older list does not replace a newer one.
    /// Of two settled lists with equal positions the shorter one is newer, as removals are delayed
    /// after an outage of the store, and so it is of two that are not settled.
    pub fn replace_servers(
        &self,
        servers: Vec<Server>,
        version: impl Into<ListVersion>,
        now: Instant,
    ) {
        let version = version.into();
        let mut server_list = lock(&self.server_list);
        let before = server_list.version();
        if let Some(known) = before {
            let count = server_list.registry.servers().count();
            if (known, Reverse(count)) >= (version, Reverse(servers.len())) {
                log_ignored("router", version.position, known.position);
                return;
            }
        }
        server_list.advance(version.position, version.is_settled, now);
        let changed = server_list.registry.replace(servers, now);
        self.pass_on(&server_list, before, changed, "router");
    }

    /// Applies delayed changes that are due at `now`, after the list answered a router at some time
    /// between `earliest` and `now`.
    pub(super) fn settle_servers(&self, earliest: Instant, now: Instant) {
        let mut server_list = lock(&self.server_list);
        let before = server_list.version();
        server_list.registry.record_answer_between(earliest, now);
        let changed = server_list.registry.settle(now);
        if before.is_some() {
            self.pass_on(&server_list, before, changed, "delay");
        }
    }

    pub(super) fn replace_catalog(&self, server_list: &ServerList) {
        // A router that knows no list yet has no catalog either.
        if server_list.next.is_some() {
            self.catalog
                .replace(&server_list.registry.effective_servers());
        }
    }

    /// Puts a changed list in force, and notifies subscribers of it or of its newer version.
    fn pass_on(
        &self,
        server_list: &ServerList,
        before: Option<ListVersion>,
        changed: bool,
        source: &str,
    ) {
        let version = server_list.version().unwrap_or_default();
        let has_settled = version.is_settled && before.is_some_and(|before| !before.is_settled);
        if changed || !self.catalog.is_known() {
            self.replace_catalog(server_list);
            let count = server_list.registry.servers().count();
            let leaving = server_list.registry.servers().filter(|s| s.leaving);
            let leaving = leaving.count();
            let Position { era, offset } = version.position;
            log::info!(
                "servers known count={count} leaving={leaving} era={era} next={offset} source={source}"
            );
            self.notify_change();
        } else if has_settled {
            self.notify_change();
        }
    }
}

impl ServerList {
    /// Moves on to `next`, which is not before the known position.
    fn advance(&mut self, next: Position, is_source_settled: bool, now: Instant) {
        match self.next {
            None => self.registry.record_first_list(now),
            Some(known) if known.era < next.era => self.registry.record_restoration(now),
            Some(_) => {}
        }
        self.next = Some(next);
        self.is_source_settled = is_source_settled;
    }

    fn version(&self) -> Option<ListVersion> {
        self.next.map(|position| ListVersion {
            position,
            is_settled: self.is_source_settled && self.registry.is_settled(),
        })
    }
}

fn log_ignored(source: &str, next: Position, known: Position) {
    log::info!(
        "server list ignored source={source} era={} next={} known_era={} known={}",
        next.era,
        next.offset,
        known.era,
        known.offset
    );
}
