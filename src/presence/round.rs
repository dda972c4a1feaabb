//! Rounds of sending: which datagrams a router sends, to whom, and in which role.

use std::{net::SocketAddr, time::Duration};

use super::{
    clients::{rotated, without, ChangeCursor, Client},
    packing::pack,
    peers::Peer,
    relays::{relay_addresses, DIRECT_FLEET_SIZE},
    sums::Usage,
    view::FleetView,
    Digest, KnownRouter, Message, Outgoing, RelayRole, RouterState, Summary, Updates,
};
use crate::{Instant, RouterName};

/// Maximum number of addresses of other routers in a digest.
const MAX_KNOWN_ADDRESSES: usize = 16;

/// Longest time since the digest of a client for which a relay vouches for it: a period and a half.
const MAX_VOUCHED_AGE: Duration = Duration::from_millis(450);

impl FleetView {
    /// Starts the next round, as [`Presence::next_round`](super::Presence::next_round) does.
    pub(super) fn next_round(
        &mut self,
        mut own: Digest,
        is_periodic: bool,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.sequence += 1;
        own.sequence = self.sequence;
        let relay = self.decide_role(&own.router, now);
        self.forget_old(now);
        self.update_place(&own.router.name, now);
        own.router.relay_role = self.role;
        self.set_version(&mut own.router);

        let mut outgoing = Vec::new();
        if self.role == RelayRole::Relay {
            self.for_relays.merge(&own.updates);
            self.for_clients.merge(&own.updates);
            outgoing = self.summaries(&own, is_periodic, now);
        }
        if let Some(relay) = relay {
            let digest = Digest {
                is_for_relay: true,
                ..own.clone()
            };
            outgoing.push(Outgoing {
                to: vec![relay],
                message: Message::Digest(Box::new(digest)),
            });
        }
        let to = self.direct_receivers(relay, now);
        if !to.is_empty() {
            own.known_addresses = self.next_known_addresses(now);
            outgoing.push(Outgoing {
                to,
                message: Message::Digest(Box::new(own)),
            });
        }
        outgoing
    }

    /// Returns whether urgent changes are to be sent again to a client or another relay.
    pub(super) fn has_repeats(&self) -> bool {
        let cursors = self.clients.values().map(|client| &client.cursor);
        let mut cursors = cursors.chain([&self.relay_cursor]);
        self.role == RelayRole::Relay && cursors.any(ChangeCursor::has_repeats)
    }

    fn forget_old(&mut self, now: Instant) {
        self.clients.retain(|_, client| client.usage.is_fresh(now));
        self.relays.retain(|_, usage| usage.is_fresh(now));
        self.direct.retain(|_, usage| usage.is_fresh(now));
        let has_relay = self.role == RelayRole::Client && self.fleet.is_fresh(now);
        if has_relay {
            self.peers.remove_old(now);
        } else {
            self.peers.mark_silent(now);
        }
    }

    /// Sets the place among the routers; a router that is cut off from all others keeps its last one.
    fn update_place(&mut self, me: &RouterName, now: Instant) {
        let place = self.peers.place(me);
        let is_alone = self.peers.live(now).next().is_none();
        let last_size = self.place.map_or(0, |last| last.size);
        if !is_alone || place.size > last_size {
            self.place = Some(place);
        }
    }

    /// Sets the relay role; returns the address of this router's relay, if it has one.
    fn decide_role(&mut self, own: &RouterState, now: Instant) -> Option<SocketAddr> {
        if self.peers.len() < DIRECT_FLEET_SIZE {
            self.role = RelayRole::Direct;
            return None;
        }
        if !self.clients.is_empty() {
            // Routers that chose this one as their relay may know better which others are live.
            self.relay_choice.clear();
            self.set_role(RelayRole::Relay, now);
            return None;
        }
        let live = self.peers.live(now).map(|peer| &peer.state);
        let upstream = self.relay_choice.decide(own, live, now);
        let relay = upstream.and_then(|upstream| self.peers.get(&upstream.relay));
        let relay = relay.map(|peer| peer.state.peer_address);
        let role = match relay {
            Some(_) => RelayRole::Client,
            None => RelayRole::Relay,
        };
        self.set_role(role, now);
        relay
    }

    fn set_role(&mut self, role: RelayRole, now: Instant) {
        if self.role == RelayRole::Client && role == RelayRole::Relay {
            // Until now a relay has listened to the others in place of this router.
            self.peers.renew(now);
        }
        self.role = role;
    }

    /// Sets the version of `own`, a new one if it differs from what was announced last.
    fn set_version(&mut self, own: &mut RouterState) {
        own.version = self.own.as_ref().map_or(1, |announced| announced.version);
        if self.own.as_ref() != Some(own) {
            own.version += 1;
            self.own = Some(own.clone());
        }
    }

    /// Returns the receivers of digests other than this router's relay.
    fn direct_receivers(&mut self, relay: Option<SocketAddr>, now: Instant) -> Vec<SocketAddr> {
        let is_direct = self.role == RelayRole::Direct;
        let peers = self.peers.iter().filter(|peer| {
            is_direct || peer.state.relay_role == RelayRole::Direct && self.peers.is_live(peer, now)
        });
        let mut to: Vec<_> = peers.map(|peer| peer.state.peer_address).collect();
        if self.role == RelayRole::Relay && self.relays.is_empty() {
            // No other relay knows of this one; those that were relays may know who is one now.
            let known = self
                .peers
                .iter()
                .map(|peer| (&peer.state, peer.last_received));
            to.extend(relay_addresses(known, now));
        }
        if !self.seeds.is_empty() {
            for peer in self.peers.iter() {
                self.seeds.remove(peer.state.peer_address);
            }
        }
        to.extend(self.seeds.take_due(now));
        to.retain(|address| Some(*address) != relay);
        to
    }

    fn next_known_addresses(&mut self, now: Instant) -> Vec<SocketAddr> {
        let live = self.peers.live(now).map(|peer| peer.state.peer_address);
        let live: Vec<_> = live.collect();
        let count = MAX_KNOWN_ADDRESSES.min(live.len());
        let start = self.next_known % live.len().max(1);
        self.next_known += MAX_KNOWN_ADDRESSES;
        live.iter()
            .cycle()
            .skip(start)
            .take(count)
            .copied()
            .collect()
    }

    /// Returns what this router passes on as a relay.
    fn summaries(&mut self, own: &Digest, is_periodic: bool, now: Instant) -> Vec<Outgoing> {
        let repeated = is_periodic.then(|| self.repeated_parts(own, now));
        let mut outgoing = self.summaries_for_relays(own, repeated.as_ref(), now);
        outgoing.extend(self.summaries_for_clients(own, repeated.as_ref(), now));
        outgoing
    }

    fn repeated_parts(&self, own: &Digest, now: Instant) -> RepeatedParts {
        let mut covered = Usage::new(own, now);
        for client in self.clients.values() {
            covered.add(&client.usage, now);
        }
        let mut fleet = covered.clone();
        for usage in self.relays.values() {
            fleet.add(usage, now);
        }
        RepeatedParts {
            covered,
            fleet,
            routers: rotated(&self.peers, self.sequence, now),
        }
    }

    fn summaries_for_relays(
        &mut self,
        own: &Digest,
        repeated: Option<&RepeatedParts>,
        now: Instant,
    ) -> Vec<Outgoing> {
        let live = self.peers.live(now);
        let live = live.map(|peer| (&peer.state, peer.last_received));
        let to: Vec<_> = relay_addresses(live, now).into_iter().collect();
        let updates = std::mem::take(&mut self.for_relays);
        let is_client = |name: &RouterName| self.clients.contains_key(name);
        let is_covered =
            |peer: &Peer| is_client(&peer.state.name) || peer.state.relay_role == RelayRole::Relay;
        let mut routers = self
            .relay_cursor
            .next_changes(&self.peers, None, is_covered, now);
        if to.is_empty() || repeated.is_none() && updates.is_empty() && routers.is_empty() {
            return Vec::new();
        }
        routers.extend(repeated.into_iter().flat_map(|r| r.routers.iter().cloned()));
        let is_recent = |client: &Client| now.since(client.usage.received) < MAX_VOUCHED_AGE;
        let clients = self.clients.iter().filter(|(_, client)| is_recent(client));
        let clients = clients.filter_map(|(name, client)| {
            let peer = self.peers.get(name)?;
            Some((peer.state.key(), client.usage.sequence))
        });
        let mut summary = self.empty_summary(own, false, now);
        summary.clients = clients.collect();
        let usage = repeated.map(|repeated| &repeated.covered);
        send_all(pack(summary, routers, usage, updates), &to)
    }

    fn summaries_for_clients(
        &mut self,
        own: &Digest,
        repeated: Option<&RepeatedParts>,
        now: Instant,
    ) -> Vec<Outgoing> {
        let updates = std::mem::take(&mut self.for_clients);
        let mut outgoing = Vec::new();
        let template = self.empty_summary(own, true, now);
        for (name, client) in &mut self.clients {
            let domain = Some(&client.domain);
            let mut routers = client
                .cursor
                .next_changes(&self.peers, domain, |_| true, now);
            if repeated.is_none() && updates.is_empty() && routers.is_empty() {
                continue;
            }
            routers.extend(repeated.into_iter().flat_map(|r| r.routers.iter().cloned()));
            let routers = without(routers, name);
            let usage = repeated.map(|repeated| repeated.fleet.without(&client.usage));
            let messages = pack(template.clone(), routers, usage.as_ref(), updates.clone());
            outgoing.extend(send_all(messages, &[client.address]));
        }
        outgoing
    }

    fn empty_summary(&self, own: &Digest, is_for_client: bool, now: Instant) -> Summary {
        let current_at = self.current_at.max(own.router.is_current.then_some(now));
        Summary {
            sender: own.router.clone(),
            sequence: own.sequence,
            is_for_client,
            clients: Vec::new(),
            routers: Vec::new(),
            loads: None,
            server_limits: Vec::new(),
            current_age_ms: current_at.map(|at| now.since(at).as_millis() as u32),
            updates: Updates::default(),
        }
    }
}

/// Parts of summaries that are sent in each period, whether or not they changed.
struct RepeatedParts {
    /// Sum over this router and its clients.
    covered: Usage,
    /// Sum over the whole fleet.
    fleet: Usage,
    routers: Vec<KnownRouter>,
}

fn send_all(messages: Vec<Summary>, to: &[SocketAddr]) -> Vec<Outgoing> {
    let outgoing = messages.into_iter().map(|summary| Outgoing {
        to: to.to_vec(),
        message: Message::Summary(Box::new(summary)),
    });
    outgoing.collect()
}
