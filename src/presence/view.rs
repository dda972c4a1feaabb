//! What a router knows of its fleet, from the datagrams that it receives.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    clients::{ChangeCursor, Client},
    peers::{PeerChange, PeerTable},
    relays::RelayChoice,
    seeds::Seeds,
    sums::Usage,
    Digest, KnownRouter, Reception, RelayRole, RouterState, Summary, Updates,
};
use crate::{admission::FleetPlace, Instant, RouterName};

/// The state behind [`Presence`](super::Presence).
#[derive(Debug, Default)]
pub(super) struct FleetView {
    pub(super) peers: PeerTable,
    pub(super) seeds: Seeds,
    pub(super) relay_choice: RelayChoice,
    pub(super) role: RelayRole,
    /// State that the last digest announced.
    pub(super) own: Option<RouterState>,
    pub(super) sequence: u64,
    /// Offset among the live routers of the next addresses to include in a digest.
    pub(super) next_known: usize,
    /// Reports of the routers that send their digests to this one without being its clients.
    pub(super) direct: BTreeMap<RouterName, Usage>,
    pub(super) clients: BTreeMap<RouterName, Client>,
    /// Reports of the other relays, each for itself and its clients.
    pub(super) relays: BTreeMap<RouterName, Usage>,
    /// Report of this router's relay for the whole fleet.
    pub(super) fleet: Usage,
    /// Latest time at which another router was known to have current routes and servers.
    pub(super) current_at: Option<Instant>,
    pub(super) for_relays: Updates,
    pub(super) for_clients: Updates,
    pub(super) relay_cursor: ChangeCursor,
    /// Place among the routers, when another one was live last.
    pub(super) place: Option<FleetPlace>,
}

impl FleetView {
    /// Adds the address unless it is `own` or that of a known router; returns whether it was added.
    pub(super) fn add_seed(&mut self, address: SocketAddr, own: SocketAddr, now: Instant) -> bool {
        let is_known = self.peers.iter().any(|p| p.state.peer_address == address);
        if address == own || is_known {
            return false;
        }
        self.seeds.add(address, now);
        true
    }

    pub(super) fn receive_digest(&mut self, digest: &Digest, now: Instant) -> Reception {
        let router = &digest.router;
        let announced = KnownRouter::new(router.clone(), digest.sequence);
        let change = self.peers.apply(&announced, now);
        let mut reception = Reception {
            is_new: change != PeerChange::Outdated,
            is_urgent: false,
        };
        let known = self.peers.get(&router.name);
        if known.is_none_or(|known| known.state.incarnation != router.incarnation) {
            return reception;
        }
        let usage = Usage::new(digest, now);
        if router.is_current {
            self.current_at = Some(now);
        }
        if !digest.is_for_relay {
            self.clients.remove(&router.name);
            replace_if_later(&mut self.direct, &router.name, usage, change);
            if change == PeerChange::Urgent && self.role == RelayRole::Relay {
                self.relay_cursor = ChangeCursor::default();
                reception.is_urgent = true;
            }
            return reception;
        }
        self.direct.remove(&router.name);
        let known = self.clients.get_mut(&router.name);
        let known = known.filter(|client| client.incarnation == router.incarnation);
        let is_new = known.is_none();
        match known {
            Some(client) if client.usage.sequence >= digest.sequence => return reception,
            Some(client) => client.usage = usage,
            None => {
                let client = Client {
                    incarnation: router.incarnation,
                    address: router.peer_address,
                    domain: router.domain.clone(),
                    usage,
                    cursor: ChangeCursor::default(),
                };
                self.clients.insert(router.name.clone(), client);
            }
        }
        self.for_relays.merge(&digest.updates);
        self.for_clients.merge(&digest.updates);
        let is_urgent = change == PeerChange::Urgent || digest.updates.are_urgent();
        reception.is_urgent = is_new || is_urgent;
        reception
    }

    pub(super) fn receive_summary(
        &mut self,
        summary: &Summary,
        me: &RouterName,
        now: Instant,
    ) -> Reception {
        let sender = &summary.sender;
        let announced = KnownRouter::new(sender.clone(), summary.sequence);
        let mut change = self.peers.apply(&announced, now);
        let mut reception = Reception {
            is_new: change != PeerChange::Outdated,
            is_urgent: false,
        };
        if change == PeerChange::Urgent {
            // The sender may be a relay that has just started and knows few others.
            self.relay_cursor = ChangeCursor::default();
        }
        for router in summary.routers.iter().filter(|r| r.state.name != *me) {
            change = change.max(self.peers.apply(router, now));
        }
        for (key, sequence) in &summary.clients {
            if let Some(name) = self.peers.record_sequence(*key, *sequence, now) {
                // The router has chosen another relay, which counts its load from now on.
                self.clients.remove(name);
            }
        }
        if let Some(age) = summary.current_age_ms {
            let at = now - Duration::from_millis(age.into());
            self.current_at = self.current_at.max(Some(at));
        }
        let usage = if summary.is_for_client {
            let upstream = self.relay_choice.upstream();
            if upstream.is_none_or(|upstream| upstream.relay != sender.name) {
                return reception;
            }
            self.relay_choice.record_summary(&sender.name, now);
            self.peers.record_vouched(now);
            &mut self.fleet
        } else {
            self.for_clients.merge(&summary.updates);
            self.relays.entry(sender.name.clone()).or_default()
        };
        // The next relay of this router counts its summaries by itself, as one that has restarted does.
        let is_other_count = summary.is_for_client || !usage.is_fresh(now);
        if let Some(range) = &summary.loads {
            if summary.sequence >= usage.sequence || is_other_count {
                usage.replace(range, &summary.server_limits, summary.sequence, now);
            }
        }
        let is_urgent = change == PeerChange::Urgent || summary.updates.are_urgent();
        reception.is_urgent = self.role == RelayRole::Relay && is_urgent;
        reception
    }

    /// Returns the reports that together cover each other live router once.
    pub(super) fn usages(&self, now: Instant) -> impl Iterator<Item = &Usage> {
        let is_relay = self.role != RelayRole::Client;
        // A router that has just become a relay has no reports of the other relays yet.
        let has_relays = is_relay && self.relays.values().any(|usage| usage.is_fresh(now));
        let uses_fleet = self.role != RelayRole::Direct && !has_relays;
        let fleet = (uses_fleet && self.fleet.is_fresh(now)).then_some(&self.fleet);
        let direct = self.direct.iter().filter(|(name, _)| {
            let peer = self.peers.get(name);
            self.role == RelayRole::Direct
                || peer.is_some_and(|peer| peer.state.relay_role == RelayRole::Direct)
        });
        let direct = direct.map(|(_, usage)| usage);
        let clients = self.clients.values().map(|client| &client.usage);
        let clients = clients.filter(move |_| is_relay && fleet.is_none());
        let relays = self.relays.values().filter(move |_| has_relays);
        let all = direct.chain(clients).chain(relays).chain(fleet);
        all.filter(move |usage| usage.is_fresh(now))
    }
}

/// Replaces the report of a router unless it is of an earlier digest of the same incarnation.
fn replace_if_later(
    reports: &mut BTreeMap<RouterName, Usage>,
    name: &RouterName,
    usage: Usage,
    change: PeerChange,
) {
    let known = reports.get(name);
    let is_earlier = known.is_some_and(|known| known.sequence >= usage.sequence);
    if !is_earlier || change == PeerChange::Urgent {
        reports.insert(name.clone(), usage);
    }
}
