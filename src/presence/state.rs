//! The known routers, their latest digests, and the seed addresses still being contacted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{Digest, RouterPhase};
use crate::{admission::LimitReport, catalog::ServerKey, sync::lock, Instant, RouterName};

/// Time between two digests.
///
/// A caller that opens a connection to a crashed router waits up to a second; with this period,
/// the router counts as dead before the caller asks for addresses again.
pub const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Time without a digest after which a router is not returned to callers and its load is ignored.
///
/// Five digest periods: a link that loses one packet in ten then hides a router for a moment
/// once in a day and not once in a minute.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a digest after which a router is removed and no longer sent digests.
pub const PEER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two digests to a seed address that has not answered.
///
/// Routers of one fleet start within a third of a second of each other.
const SEED_RETRY_PERIOD: Duration = DIGEST_PERIOD;

/// Maximum time for which a seed address that never answers is contacted.
const SEED_TTL: Duration = Duration::from_secs(10);

/// Maximum number of seed addresses contacted at once.
const MAX_SEEDS: usize = 512;

/// Maximum number of addresses of other routers in a digest.
const MAX_KNOWN_ADDRESSES: usize = 4;

/// Another router and its latest digest.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Latest digest of the router.
    pub digest: Digest,
    /// Time at which the latest digest was received.
    pub last_received: Instant,
}

impl Peer {
    /// Returns whether a digest of the router arrived within [`PEER_TIMEOUT`].
    pub fn is_live(&self, now: Instant) -> bool {
        now.since(self.last_received) < PEER_TIMEOUT
    }

    /// Returns whether the latest digest of the router supersedes `digest`.
    ///
    /// A lower incarnation is accepted once the higher one has timed out, as the clock of the
    /// router may have been set back before it restarted.
    fn is_later_than(&self, digest: &Digest, now: Instant) -> bool {
        if self.digest.incarnation == digest.incarnation {
            return self.digest.sequence >= digest.sequence;
        }
        self.digest.incarnation > digest.incarnation && self.is_live(now)
    }
}

/// An address that may belong to a router and has not answered yet.
#[derive(Debug)]
struct Seed {
    added: Instant,
    last_tried: Option<Instant>,
}

/// The other routers known to this one.
#[derive(Debug)]
pub struct Presence {
    me: RouterName,
    own_address: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    peers: BTreeMap<RouterName, Peer>,
    seeds: BTreeMap<SocketAddr, Seed>,
    sequence: u64,
    /// Offset among the live routers of the next addresses to include in a digest.
    next_known: usize,
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

    /// Applies a digest from another router; returns whether it superseded the known one.
    pub fn receive(&self, digest: Digest, now: Instant) -> bool {
        if digest.from == self.me {
            return false;
        }
        let mut inner = self.lock();
        for address in &digest.known_addresses {
            inner.add_seed(*address, self.own_address, now);
        }
        inner.seeds.remove(&digest.peer_address);
        let known = inner.peers.get(&digest.from);
        if known.is_some_and(|peer| peer.is_later_than(&digest, now)) {
            return false;
        }
        if known.is_none_or(|peer| peer.digest.incarnation != digest.incarnation) {
            log::info!(
                "router discovered name={} life={}",
                digest.from,
                digest.incarnation.0
            );
        }
        inner.peers.insert(
            digest.from.clone(),
            Peer {
                digest,
                last_received: now,
            },
        );
        true
    }

    /// Starts the next round: returns the targets of the next digest and the addresses to include.
    pub fn next_round(&self, now: Instant) -> Round {
        let mut inner = self.lock();
        inner.sequence += 1;
        inner.remove_silent(now);
        let mut targets: Vec<_> = inner
            .peers
            .values()
            .map(|p| p.digest.peer_address)
            .collect();
        targets.extend(inner.due_seeds(now));
        let live: Vec<_> = inner.peers.values().filter(|p| p.is_live(now)).collect();
        let rotated = live
            .iter()
            .cycle()
            .skip(inner.next_known % live.len().max(1));
        let known_addresses = rotated.take(MAX_KNOWN_ADDRESSES.min(live.len()));
        let known_addresses = known_addresses
            .map(|peer| peer.digest.peer_address)
            .collect();
        inner.next_known += MAX_KNOWN_ADDRESSES;
        Round {
            sequence: inner.sequence,
            targets,
            known_addresses,
        }
    }

    /// Returns `f` of each router of which a digest arrived within [`PEER_TIMEOUT`].
    pub fn map_live<T>(&self, now: Instant, f: impl FnMut(&Peer) -> T) -> Vec<T> {
        let inner = self.lock();
        inner
            .peers
            .values()
            .filter(|p| p.is_live(now))
            .map(f)
            .collect()
    }

    /// Returns the number of routers from which a digest arrived within [`PEER_REMOVAL_TIMEOUT`],
    /// including this one.
    pub fn fleet_size(&self) -> usize {
        self.lock().peers.len() + 1
    }

    /// Returns the caller addresses of the other live routers that accept callers.
    pub fn serving_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let inner = self.lock();
        let live = inner.peers.values().filter(|p| p.is_live(now));
        let serving = live.filter(|p| p.digest.phase == RouterPhase::Serving);
        serving.map(|p| p.digest.address).collect()
    }

    /// Returns the number of requests that the other live routers have in flight, by server.
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let mut sum = BTreeMap::new();
        for peer in self.lock().peers.values().filter(|p| p.is_live(now)) {
            for (key, load) in &peer.digest.loads {
                *sum.entry(*key).or_default() += load;
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
        let live = inner.peers.values().filter(|p| p.is_live(now));
        let mut reports = live.flat_map(|p| {
            let age = now.since(p.last_received);
            p.digest
                .server_limits
                .iter()
                .map(move |report| (report, age))
        });
        f(&mut reports)
    }

    /// Returns the peer addresses of the other live routers that accept callers.
    ///
    /// The order differs from router to router, so that routers that start spread over the others.
    pub fn serving_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let inner = self.lock();
        let live = inner.peers.values().filter(|p| p.is_live(now));
        let serving = live.filter(|p| p.digest.phase == RouterPhase::Serving);
        let score =
            |p: &Peer| crate::placement::rendezvous_score(self.me.as_str(), p.digest.from.as_str());
        let mut scored: Vec<_> = serving
            .map(|p| (std::cmp::Reverse(score(p)), p.digest.peer_address))
            .collect();
        scored.sort_unstable();
        scored.into_iter().map(|(_, address)| address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// A round of sending one digest.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Sequence number of the digest.
    pub sequence: u64,
    /// Addresses to which the digest is sent.
    pub targets: Vec<SocketAddr>,
    /// Peer addresses of other routers to include in the digest.
    pub known_addresses: Vec<SocketAddr>,
}

impl Inner {
    fn add_seed(&mut self, address: SocketAddr, own: SocketAddr, now: Instant) {
        let mut peers = self.peers.values();
        let is_known = peers.any(|p| p.digest.peer_address == address);
        if address == own || is_known || self.seeds.len() >= MAX_SEEDS {
            return;
        }
        let seed = Seed {
            added: now,
            last_tried: None,
        };
        self.seeds.entry(address).or_insert(seed);
    }

    fn remove_silent(&mut self, now: Instant) {
        self.peers.retain(|name, peer| {
            let keep = now.since(peer.last_received) < PEER_REMOVAL_TIMEOUT;
            if !keep {
                log::info!("router removed name={name} reason=silent");
            }
            keep
        });
        self.seeds
            .retain(|_, seed| now.since(seed.added) < SEED_TTL);
    }

    fn due_seeds(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, seed) in &mut self.seeds {
            if seed
                .last_tried
                .is_none_or(|last| now.since(last) >= SEED_RETRY_PERIOD)
            {
                seed.last_tried = Some(now);
                due.push(*address);
            }
        }
        due
    }
}
