//! The other routers and what they report, as known to this router.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{view::FleetView, Digest, Message, RelayRole, RouterPhase, RouterState, Updates};
use crate::{
    admission::{FleetPlace, LimitReport},
    catalog::ServerKey,
    placement::rendezvous_score,
    sync::lock,
    Instant, RouterName,
};

/// Time between two digests.
///
/// A caller that opens a connection to a crashed router waits up to a second; with this period,
/// the router counts as dead before the caller asks for addresses again.
pub const DIGEST_PERIOD: Duration = Duration::from_millis(300);

/// Time from the start of this router in which it gets to know the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The other routers known to this one.
#[derive(Debug)]
pub struct Presence {
    me: RouterName,
    own_address: SocketAddr,
    view: Mutex<FleetView>,
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
    /// Whether this router has to forward updates without delay.
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
            view: Mutex::default(),
        }
    }

    /// Adds seed addresses, at which other routers may be found; returns how many of them belong to no
    /// known router.
    pub fn add_seeds(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        now: Instant,
    ) -> usize {
        let mut view = self.lock();
        let addresses = addresses.into_iter();
        let unknown = addresses.filter(|address| view.add_seed(*address, self.own_address, now));
        unknown.count()
    }

    /// Applies a datagram from another router.
    pub fn receive(&self, message: &Message, now: Instant) -> Reception {
        let mut view = self.lock();
        match message {
            Message::Digest(digest) if digest.router.name != self.me => {
                for address in &digest.known_addresses {
                    view.add_seed(*address, self.own_address, now);
                }
                view.receive_digest(digest, now)
            }
            Message::Summary(summary) if summary.sender.name != self.me => {
                view.receive_summary(summary, &self.me, now)
            }
            _ => Reception::default(),
        }
    }

    /// Starts the next round: returns the datagrams that announce `own`, and what this router passes
    /// on as a relay.
    ///
    /// The sequence number, the version of the state and the relay role of `own` are set here. A
    /// round that is not periodic carries only changes.
    pub fn next_round(&self, own: Digest, is_periodic: bool, now: Instant) -> Vec<Outgoing> {
        self.lock().next_round(own, is_periodic, now)
    }

    /// Returns whether this router, as a relay, has urgent changes to send again; the next round is
    /// then due within [`CHANGE_REPEAT_DELAY`](super::CHANGE_REPEAT_DELAY).
    pub fn has_repeats(&self) -> bool {
        self.lock().has_repeats()
    }

    /// Returns how this router exchanges digests with the others.
    pub fn relay_role(&self) -> RelayRole {
        self.lock().role
    }

    /// Returns `f` of each router of which a digest arrived within
    /// [`PEER_TIMEOUT`](super::PEER_TIMEOUT).
    pub fn map_live<T>(&self, now: Instant, mut f: impl FnMut(&RouterState) -> T) -> Vec<T> {
        let view = self.lock();
        view.peers.live(now).map(|peer| f(&peer.state)).collect()
    }

    /// Returns the number of routers about which an update arrived within
    /// [`PEER_REMOVAL_TIMEOUT`](super::PEER_REMOVAL_TIMEOUT), including this one.
    pub fn fleet_size(&self) -> usize {
        self.lock().peers.len() + 1
    }

    /// Returns the place of this router in the fleet, or `None` while it may not know the others yet.
    ///
    /// It is the one in the last round in which another router was live.
    pub fn fleet_place(&self, now: Instant) -> Option<FleetPlace> {
        let is_known = now >= Instant::default() + DISCOVERY_TIME;
        self.lock().place.filter(|_| is_known)
    }

    /// Returns the caller addresses of the other live routers that accept callers.
    pub fn serving_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.map_live(now, |state| (state.phase, state.address));
        let serving = live.into_iter().filter(|(p, _)| *p == RouterPhase::Serving);
        serving.map(|(_, address)| address).collect()
    }

    /// Returns the number of requests that the other live routers have in flight, by server.
    pub fn loads(&self, now: Instant) -> BTreeMap<ServerKey, u32> {
        let view = self.lock();
        let mut sum = BTreeMap::new();
        for usage in view.usages(now) {
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
        let view = self.lock();
        let mut reports = view.usages(now).flat_map(|usage| {
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

    fn lock(&self) -> MutexGuard<'_, FleetView> {
        lock(&self.view)
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
