//! The other routers that this one knows, and whether they are live.

use std::{collections::BTreeMap, time::Duration};

use super::{KnownRouter, RouterKey, RouterState};
use crate::{admission::FleetPlace, Instant, RouterName};

/// Time without a digest after which a router is not returned to callers and its load is ignored.
///
/// Five digest periods: a link that loses one packet in ten then hides a router for a moment
/// once in a day and not once in a minute.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time since the latest summary of its relay for which that summary still vouches for the others.
///
/// In that time it finds another relay, even if the next two that it tries are lost as well.
const VOUCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time without an update about a router after which it is removed.
pub const PEER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of routers known at once.
const MAX_PEERS: usize = 4_096;

/// Another router.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) state: RouterState,
    /// Sequence number of the latest digest.
    pub(super) sequence: u64,
    /// Time at which the latest digest was received, by this router or a relay.
    pub(super) last_received: Instant,
    /// Whether a relay has had no digest for too long.
    pub(super) is_silent: bool,
    /// Number of the change, among those of all routers, that has to be announced without delay.
    pub(super) urgent_change: u64,
    /// Number of the latest other change.
    pub(super) change: u64,
}

impl Peer {
    pub(super) fn to_known(&self, now: Instant) -> KnownRouter {
        let age = now.since(self.last_received).as_millis();
        KnownRouter {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            state: self.state.clone(),
            sequence: self.sequence,
            is_silent: self.is_silent,
        }
    }
}

/// What an announcement of a router changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PeerChange {
    /// The announcement is not newer than what is known.
    Outdated,
    /// Only the sequence number is newer.
    Sequence,
    /// The state has changed in what may reach other routers later.
    State,
    /// The state has changed in what other routers have to learn without delay.
    Urgent,
}

/// The known routers by name.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<RouterName, Peer>,
    names: BTreeMap<RouterKey, RouterName>,
    /// Number of changes so far.
    changes: u64,
    /// Time of the latest summary of this router's relay, which vouches for all routers that it does
    /// not report as silent.
    vouched_at: Option<Instant>,
}

impl PeerTable {
    /// Applies what a router announced of itself, or another one of it.
    ///
    /// The result is the same in whatever order announcements arrive: the incarnation decides, then
    /// the version of the state and the sequence number, each by itself. A lower incarnation is
    /// accepted once the higher one has timed out, as the clock of the router may have been set back
    /// before it restarted.
    pub(super) fn apply(&mut self, announced: &KnownRouter, now: Instant) -> PeerChange {
        let state = &announced.state;
        let Some(known) = self.peers.get(&state.name) else {
            if announced.is_silent || self.peers.len() >= MAX_PEERS {
                return PeerChange::Outdated;
            }
            self.insert(announced, now);
            return PeerChange::Urgent;
        };
        if known.state.incarnation != state.incarnation {
            let is_live = self.is_live(known, now);
            let is_accepted = if state.incarnation > known.state.incarnation {
                !announced.is_silent || !is_live
            } else {
                !announced.is_silent && !is_live
            };
            if !is_accepted {
                return PeerChange::Outdated;
            }
            self.insert(announced, now);
            return PeerChange::Urgent;
        }
        self.update(announced, now)
    }

    /// Records the sequence number of the latest digest of a router that a relay has received;
    /// returns the router's name if it is newer than the known one.
    pub(super) fn record_sequence(
        &mut self,
        key: RouterKey,
        sequence: u64,
        now: Instant,
    ) -> Option<&RouterName> {
        let name = self.names.get(&key)?;
        let peer = self.peers.get_mut(name)?;
        if sequence <= peer.sequence {
            return None;
        }
        peer.sequence = sequence;
        peer.last_received = now;
        if std::mem::take(&mut peer.is_silent) {
            self.changes += 1;
            peer.urgent_change = self.changes;
        }
        Some(name)
    }

    /// Records a summary of this router's relay.
    pub(super) fn record_vouched(&mut self, now: Instant) {
        self.vouched_at = Some(now);
    }

    /// Counts all live routers as heard at `now`.
    pub(super) fn renew(&mut self, now: Instant) {
        let vouched_at = self.vouched_at.take();
        let is_vouched = vouched_at.is_some_and(|at| now.since(at) < VOUCH_TIMEOUT);
        for peer in self.peers.values_mut().filter(|peer| !peer.is_silent) {
            if is_vouched {
                peer.last_received = now;
            }
        }
    }

    /// Returns whether a digest of the router arrived lately, at this router or at its relay.
    pub(super) fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        let is_vouched = |at: Instant| now.since(at) < VOUCH_TIMEOUT;
        let is_recent = now.since(peer.last_received) < PEER_TIMEOUT;
        !peer.is_silent && (is_recent || self.vouched_at.is_some_and(is_vouched))
    }

    /// Returns the live routers.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| self.is_live(peer, now))
    }

    /// Marks the routers of which no digest arrived lately as silent, and removes those without any
    /// update for longer.
    pub(super) fn mark_silent(&mut self, now: Instant) {
        for (name, peer) in &mut self.peers {
            if !peer.is_silent && now.since(peer.last_received) >= PEER_TIMEOUT {
                log::info!("router silent name={name} sequence={}", peer.sequence);
                peer.is_silent = true;
                self.changes += 1;
                peer.urgent_change = self.changes;
            }
        }
        self.remove_old(now);
    }

    /// Removes the routers without any update for [`PEER_REMOVAL_TIMEOUT`].
    pub(super) fn remove_old(&mut self, now: Instant) {
        let names = &mut self.names;
        self.peers.retain(|name, peer| {
            let keep = now.since(peer.last_received) < PEER_REMOVAL_TIMEOUT;
            if !keep {
                log::info!("router removed name={name} reason=silent");
                names.remove(&peer.state.key());
            }
            keep
        });
    }

    /// Returns the place of the router `me` among the known ones.
    pub(super) fn place(&self, me: &RouterName) -> FleetPlace {
        FleetPlace {
            index: self.peers.keys().filter(|name| *name < me).count(),
            size: self.peers.len() + 1,
        }
    }

    pub(super) fn get(&self, name: &RouterName) -> Option<&Peer> {
        self.peers.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    fn insert(&mut self, announced: &KnownRouter, now: Instant) {
        self.changes += 1;
        let state = announced.state.clone();
        log::info!(
            "router discovered name={} life={}",
            state.name,
            state.incarnation.0
        );
        let peer = Peer {
            sequence: announced.sequence,
            last_received: now - Duration::from_millis(announced.age_ms.into()),
            is_silent: announced.is_silent,
            urgent_change: self.changes,
            change: self.changes,
            state,
        };
        self.names.insert(peer.state.key(), peer.state.name.clone());
        if let Some(before) = self.peers.insert(peer.state.name.clone(), peer) {
            self.names.remove(&before.state.key());
        }
    }

    /// Applies an announcement of the incarnation that is known.
    fn update(&mut self, announced: &KnownRouter, now: Instant) -> PeerChange {
        let peer = self.peers.get_mut(&announced.state.name);
        let peer = peer.expect("the router is known");
        let mut result = PeerChange::Outdated;
        if announced.sequence > peer.sequence {
            peer.sequence = announced.sequence;
            let received = now - Duration::from_millis(announced.age_ms.into());
            peer.last_received = peer.last_received.max(received);
            result = PeerChange::Sequence;
            if peer.is_silent != announced.is_silent {
                peer.is_silent = announced.is_silent;
                result = PeerChange::Urgent;
            }
        } else if announced.sequence == peer.sequence && announced.is_silent && !peer.is_silent {
            peer.is_silent = true;
            result = PeerChange::Urgent;
        }
        if announced.state.version > peer.state.version {
            let is_urgent = announced.state.differs_urgently(&peer.state);
            peer.state = announced.state.clone();
            let change = if is_urgent {
                PeerChange::Urgent
            } else {
                PeerChange::State
            };
            result = result.max(change);
        }
        if result >= PeerChange::State {
            self.changes += 1;
            match result {
                PeerChange::Urgent => peer.urgent_change = self.changes,
                _ => peer.change = self.changes,
            }
        }
        result
    }
}
