//! The routers known, and how long ago they were heard.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{Digest, RouterPhase, StoreStatus};
use crate::{catalog::ServerKey, sync::lock, Instant, RouterName};

/// Time between two digests.
///
/// A caller that opens a connection to a dead router waits up to a second; at this
/// period a router counts as silent before callers ask for addresses again.
pub const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Silence after which a router is not named to callers and its load does not count.
///
/// Five digests, so that a link that loses one packet in ten hides a router for a
/// moment once in a day and not once in a minute.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which a router is no longer told anything.
pub const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Time between two attempts to reach an address that has not answered; routers of one
/// fleet start within a third of a second.
const SEEK_PERIOD: Duration = DIGEST_PERIOD;

/// Longest time that an address which never answered is tried.
const SEEK_FOR: Duration = Duration::from_secs(10);

/// Most addresses that are tried at once.
const MAX_SOUGHT: usize = 512;

/// Most addresses of other routers in a digest.
const MAX_KNOWN: usize = 4;

/// Another router, as heard last.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it said.
    pub digest: Digest,
    /// When it was heard.
    pub last_received: Instant,
}

impl Peer {
    /// Returns whether it was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        now.since(self.last_received) < PEER_TIMEOUT
    }

    /// Returns whether what it said last is later than `digest`.
    ///
    /// A life with an earlier start counts once the other one is silent: the clock of the
    /// router may have been set back before it started again.
    fn is_later_than(&self, digest: &Digest, now: Instant) -> bool {
        if self.digest.incarnation == digest.incarnation {
            return self.digest.sequence >= digest.sequence;
        }
        self.digest.incarnation > digest.incarnation && self.is_live(now)
    }
}

/// An address that may be a router's.
#[derive(Debug)]
struct Sought {
    since: Instant,
    tried: Option<Instant>,
}

/// The routers known to this one.
#[derive(Debug)]
pub struct Presence {
    me: RouterName,
    own_address: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    peers: BTreeMap<RouterName, Peer>,
    sought: BTreeMap<SocketAddr, Sought>,
    number: u64,
    /// Position from which the next addresses for other routers are taken.
    introduced: usize,
}

impl Presence {
    /// Creates the presence of router `me`, reached by routers at `own_address`.
    pub fn new(me: RouterName, own_address: SocketAddr) -> Self {
        Presence {
            me,
            own_address,
            inner: Mutex::default(),
        }
    }

    /// Adds addresses at which routers may be found.
    pub fn add_seeds(&self, addresses: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        let mut inner = self.lock();
        for address in addresses {
            inner.seek(address, self.own_address, now);
        }
    }

    /// Takes over what another router said; returns whether it was news.
    pub fn receive(&self, digest: Digest, now: Instant) -> bool {
        if digest.from == self.me {
            return false;
        }
        let mut inner = self.lock();
        for address in &digest.known_addresses {
            inner.seek(*address, self.own_address, now);
        }
        inner.sought.remove(&digest.peer_address);
        let known = inner.peers.get(&digest.from);
        if known.is_some_and(|peer| peer.is_later_than(&digest, now)) {
            return false;
        }
        if known.is_none_or(|peer| peer.digest.incarnation != digest.incarnation) {
            log::info!(
                "router heard name={} life={}",
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

    /// Returns the addresses that the next digest goes to, and some to be named in it.
    pub fn next_round(&self, now: Instant) -> Round {
        let mut inner = self.lock();
        inner.number += 1;
        inner.forget(now);
        let mut targets: Vec<_> = inner
            .peers
            .values()
            .map(|p| p.digest.peer_address)
            .collect();
        targets.extend(inner.due(now));
        let live: Vec<_> = inner.peers.values().filter(|p| p.is_live(now)).collect();
        let named = live
            .iter()
            .cycle()
            .skip(inner.introduced % live.len().max(1));
        let known = named.take(MAX_KNOWN.min(live.len()));
        let known = known.map(|peer| peer.digest.peer_address).collect();
        inner.introduced += MAX_KNOWN;
        Round {
            sequence: inner.number,
            targets,
            known,
        }
    }

    /// Returns the routers that were heard lately.
    pub fn live(&self, now: Instant) -> Vec<Peer> {
        let inner = self.lock();
        inner
            .peers
            .values()
            .filter(|p| p.is_live(now))
            .cloned()
            .collect()
    }

    /// Returns the number of routers heard within [`FORGET_AFTER`], this one included.
    pub fn fleet_size(&self) -> usize {
        self.lock().peers.len() + 1
    }

    /// Returns the addresses for callers of the other routers that take them.
    pub fn serving_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let inner = self.lock();
        let live = inner.peers.values().filter(|p| p.is_live(now));
        let serving = live.filter(|p| p.digest.phase == RouterPhase::Serving);
        serving.map(|p| p.digest.address).collect()
    }

    /// Adds up what the other routers have in flight at each server.
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let mut sum = BTreeMap::new();
        for peer in self.lock().peers.values().filter(|p| p.is_live(now)) {
            for (key, load) in &peer.digest.loads {
                *sum.entry(*key).or_default() += load;
            }
        }
        sum
    }

    /// Returns the addresses of the routers that can feed this one, the best first.
    ///
    /// Those that follow the store go first. With `any`, those that only know enough to
    /// serve come after them.
    pub fn feed_sources(&self, any: bool, now: Instant) -> Vec<SocketAddr> {
        let inner = self.lock();
        let live = inner.peers.values().filter(|p| p.is_live(now));
        let follows = |p: &Peer| p.digest.store_status == StoreStatus::Following;
        let serves = |p: &Peer| any && p.digest.phase == RouterPhase::Serving;
        let feeders = live.filter(|p| follows(p) || serves(p));
        let score =
            |p: &Peer| crate::placement::rendezvous_score(self.me.as_str(), p.digest.from.as_str());
        let mut feeders: Vec<_> = feeders
            .map(|p| {
                (
                    std::cmp::Reverse((follows(p), score(p))),
                    p.digest.peer_address,
                )
            })
            .collect();
        feeders.sort_unstable();
        feeders.into_iter().map(|(_, address)| address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// Who gets the next digest.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Number of the digest.
    pub sequence: u64,
    /// Where it goes.
    pub targets: Vec<SocketAddr>,
    /// Routers to be named in it.
    pub known: Vec<SocketAddr>,
}

impl Inner {
    fn seek(&mut self, address: SocketAddr, own: SocketAddr, now: Instant) {
        let mut peers = self.peers.values();
        let is_known = peers.any(|p| p.digest.peer_address == address);
        if address == own || is_known || self.sought.len() >= MAX_SOUGHT {
            return;
        }
        let sought = Sought {
            since: now,
            tried: None,
        };
        self.sought.entry(address).or_insert(sought);
    }

    fn forget(&mut self, now: Instant) {
        self.peers.retain(|name, peer| {
            let keep = now.since(peer.last_received) < FORGET_AFTER;
            if !keep {
                log::info!("router forgotten name={name} reason=silent");
            }
            keep
        });
        self.sought
            .retain(|_, sought| now.since(sought.since) < SEEK_FOR);
    }

    fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, sought) in &mut self.sought {
            if sought
                .tried
                .is_none_or(|last| now.since(last) >= SEEK_PERIOD)
            {
                sought.tried = Some(now);
                due.push(*address);
            }
        }
        due
    }
}
