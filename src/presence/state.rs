//! The other routers and what they report, as known to this router.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{
    clients::{rotated, without, Client, Told},
    packing::pack,
    peers::{Peer, PeerChange, PeerTable},
    relays::{relay_addresses, RelayChoice, DIRECT_FLEET_SIZE},
    seeds::Seeds,
    sums::Usage,
    Digest, KnownRouter, Message, RelayRole, RouterPhase, RouterState, Summary, Updates,
};
use crate::{
    admission::LimitReport, catalog::ServerKey, placement::rendezvous_score, sync::lock, Instant,
    RouterName,
};

/// Time between two digests.
///
/// A caller that opens a connection to a crashed router waits up to a second; with this period,
/// the router counts as dead before the caller asks for addresses again.
pub const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Maximum number of addresses of other routers in a digest.
const MAX_KNOWN_ADDRESSES: usize = 16;

/// Longest time since the digest of a client for which a relay vouches for it: a period and a half.
const MAX_VOUCHED_AGE: Duration = Duration::from_millis(450);

/// The other routers known to this one.
#[derive(Debug)]
pub struct Presence {
    me: RouterName,
    own_address: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    peers: PeerTable,
    seeds: Seeds,
    relay_choice: RelayChoice,
    role: RelayRole,
    /// State that the last digest announced.
    own: Option<RouterState>,
    sequence: u64,
    /// Offset among the live routers of the next addresses to include in a digest.
    next_known: usize,
    /// Reports of the routers that send their digests to this one without being its clients.
    direct: BTreeMap<RouterName, Usage>,
    clients: BTreeMap<RouterName, Client>,
    /// Reports of the other relays, each for itself and its clients.
    relays: BTreeMap<RouterName, Usage>,
    /// Report of this router's relay for the whole fleet.
    fleet: Usage,
    /// Latest time at which another router was known to have current routes and servers.
    current_at: Option<Instant>,
    for_relays: Updates,
    for_clients: Updates,
    told_relays: Told,
}

/// Datagrams to send, with their receivers.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    /// Contents of the datagram.
    pub message: Message,
}

/// Effect of a datagram of another router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reception {
    /// Whether the sender's state or sequence number was newer than the known one.
    pub is_new: bool,
    /// Whether this router has to pass news on without delay.
    pub is_urgent: bool,
}

/// What a datagram of another router says.
#[derive(Debug, Clone, Copy)]
pub struct Received<'a> {
    /// Updates that concern all routers.
    pub updates: &'a Updates,
    /// Limits that servers have named.
    pub server_limits: &'a [LimitReport],
    /// Time since a router was known to have current routes and servers, if one was.
    pub current_age: Option<Duration>,
}

impl Presence {
    /// Creates the state of router `me`, which other routers reach at `own_address`.
    pub fn new(me: RouterName, own_address: SocketAddr) -> Self {
        Presence {
            me,
            own_address,
            inner: Mutex::default(),
        }
    }

    /// Adds seed addresses, at which other routers may be found.
    pub fn add_seeds(&self, addresses: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        let mut inner = self.lock();
        for address in addresses {
            inner.add_seed(address, self.own_address, now);
        }
    }

    /// Applies a datagram from another router.
    pub fn receive(&self, message: &Message, now: Instant) -> Reception {
        let mut inner = self.lock();
        match message {
            Message::Digest(digest) if digest.router.name != self.me => {
                for address in &digest.known_addresses {
                    inner.add_seed(*address, self.own_address, now);
                }
                inner.receive_digest(digest, now)
            }
            Message::Summary(summary) if summary.sender.name != self.me => {
                inner.receive_summary(summary, &self.me, now)
            }
            _ => Reception::default(),
        }
    }

    /// Starts the next round: returns the datagrams that announce `own`, and what this router passes
    /// on as a relay.
    ///
    /// The sequence number, the version of the state and the relay role of `own` are set here. A
    /// round that is not periodic carries only news.
    pub fn next_round(&self, own: Digest, is_periodic: bool, now: Instant) -> Vec<Outgoing> {
        self.lock().next_round(own, is_periodic, now)
    }

    /// Returns how this router exchanges digests with the others.
    pub fn relay_role(&self) -> RelayRole {
        self.lock().role
    }

    /// Returns `f` of each router of which a digest arrived within
    /// [`PEER_TIMEOUT`](super::PEER_TIMEOUT).
    pub fn map_live<T>(&self, now: Instant, mut f: impl FnMut(&RouterState) -> T) -> Vec<T> {
        let inner = self.lock();
        inner.peers.live(now).map(|peer| f(&peer.state)).collect()
    }

    /// Returns the number of routers of which there was news within
    /// [`PEER_REMOVAL_TIMEOUT`](super::PEER_REMOVAL_TIMEOUT), including this one.
    pub fn fleet_size(&self) -> usize {
        self.lock().peers.len() + 1
    }

    /// Returns the caller addresses of the other live routers that accept callers.
    pub fn serving_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.map_live(now, |state| (state.phase, state.address));
        let serving = live.into_iter().filter(|(p, _)| *p == RouterPhase::Serving);
        serving.map(|(_, address)| address).collect()
    }

    /// Returns the number of requests that the other live routers have in flight, by server.
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let inner = self.lock();
        let mut sum = BTreeMap::new();
        for usage in inner.usages(now) {
            for (key, load) in &usage.loads {
                let total: &mut u32 = sum.entry(*key).or_default();
                *total = total.saturating_add(*load);
            }
        }
        sum
    }

    /// Calls `f` with what the other live routers report of limited servers, each report with the
    /// time since it was received.
    pub fn with_limit_reports<T>(
        &self,
        now: Instant,
        f: impl FnOnce(&mut dyn Iterator<Item = (&LimitReport, Duration)>) -> T,
    ) -> T {
        let inner = self.lock();
        let mut reports = inner.usages(now).flat_map(|usage| {
            let age = now.since(usage.received);
            let reports = usage.server_limits.iter();
            reports.map(move |report| (report, age))
        });
        f(&mut reports)
    }

    /// Returns the peer addresses of the other live routers that accept callers.
    ///
    /// The order differs from router to router, so that routers that start spread over the others.
    pub fn serving_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut scored = self.map_live(now, |state| {
            let score = rendezvous_score(self.me.as_str(), state.name.as_str());
            (state.phase, std::cmp::Reverse(score), state.peer_address)
        });
        scored.retain(|(phase, _, _)| *phase == RouterPhase::Serving);
        scored.sort_unstable_by_key(|(_, score, address)| (*score, *address));
        scored.into_iter().map(|(_, _, address)| address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Message {
    /// Returns what the message says, apart from the states and loads of routers.
    pub fn received(&self) -> Received<'_> {
        match self {
            Message::Digest(digest) => Received {
                updates: &digest.updates,
                server_limits: &digest.server_limits,
                current_age: digest.router.is_current.then_some(Duration::ZERO),
            },
            Message::Summary(summary) => Received {
                updates: &summary.updates,
                server_limits: &summary.server_limits,
                current_age: summary
                    .current_age_ms
                    .map(|age| Duration::from_millis(age.into())),
            },
        }
    }
}

impl Inner {
    fn add_seed(&mut self, address: SocketAddr, own: SocketAddr, now: Instant) {
        let is_known = self.peers.iter().any(|p| p.state.peer_address == address);
        if address != own && !is_known {
            self.seeds.add(address, now);
        }
    }

    fn receive_digest(&mut self, digest: &Digest, now: Instant) -> Reception {
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
                self.told_relays = Told::default();
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
                    told: Told::default(),
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

    fn receive_summary(&mut self, summary: &Summary, me: &RouterName, now: Instant) -> Reception {
        let sender = &summary.sender;
        let announced = KnownRouter::new(sender.clone(), summary.sequence);
        let mut change = self.peers.apply(&announced, now);
        let mut reception = Reception {
            is_new: change != PeerChange::Outdated,
            is_urgent: false,
        };
        if change == PeerChange::Urgent {
            // The sender may be a relay that has just started and knows few others.
            self.told_relays = Told::default();
        }
        for router in summary.routers.iter().filter(|r| r.state.name != *me) {
            change = change.max(self.peers.apply(router, now));
        }
        for (key, sequence) in &summary.clients {
            if let Some(name) = self.peers.hear(*key, *sequence, now) {
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
            self.peers.cover(now);
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
    fn usages(&self, now: Instant) -> impl Iterator<Item = &Usage> {
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

    fn next_round(&mut self, mut own: Digest, is_periodic: bool, now: Instant) -> Vec<Outgoing> {
        self.sequence += 1;
        own.sequence = self.sequence;
        let relay = self.decide_role(&own.router, now);
        self.forget_old(now);
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
            .told_relays
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
            let mut routers = client.told.next_changes(&self.peers, domain, |_| true, now);
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
