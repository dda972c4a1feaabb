//! The clients of a relay, and the state changes that each of them has been sent.

use std::net::SocketAddr;

use super::{
    peers::{Peer, PeerTable},
    sums::Usage,
    KnownRouter,
};
use crate::{DomainName, Incarnation, Instant, RouterName};

/// Maximum number of changed states sent to one receiver in a round.
const MAX_CHANGES_PER_ROUND: usize = 24;

/// The same for a receiver that knows none yet.
const MAX_FIRST_CHANGES_PER_ROUND: usize = 100;

/// Minimum number of states that are sent again in each round, in turn.
const MIN_ROTATED: usize = 6;

/// Number of rounds in which the states of all routers of a large fleet are sent again.
const ROTATION_ROUNDS: usize = 45;

/// A router whose relay this one is.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    pub(super) domain: DomainName,
    pub(super) usage: Usage,
    pub(super) cursor: ChangeCursor,
}

/// Which changes of router states a receiver has been sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ChangeCursor {
    urgent: SentChanges,
    other: SentChanges,
}

/// Numbers of the latest changes of one kind that a receiver has been sent.
#[derive(Debug, Clone, Copy, Default)]
struct SentChanges {
    latest: u64,
    /// Latest change sent before the last round.
    before: u64,
}

impl SentChanges {
    /// Returns the peers whose changes are due, `limit` at most: those that were not sent yet, and
    /// then those of the last round.
    ///
    /// `number` returns the number of the latest change of a peer.
    fn take_due<'a>(
        &mut self,
        peers: impl Iterator<Item = &'a Peer>,
        number: impl Fn(&Peer) -> u64,
        limit: usize,
    ) -> Vec<&'a Peer> {
        let due = peers.filter(|peer| number(peer) > self.before);
        let (mut due, repeated): (Vec<_>, Vec<_>) =
            due.partition(|peer| number(peer) > self.latest);
        due.sort_by_key(|peer| number(peer));
        due.truncate(limit);
        self.before = self.latest;
        self.latest = due.last().map_or(self.latest, |peer| number(peer));
        due.extend(repeated);
        due.truncate(limit);
        due
    }
}

impl ChangeCursor {
    /// Returns the states to send in this round among those that `is_covered` selects.
    ///
    /// Changes are sent once as soon as possible and again in the next round, urgent ones first; a
    /// receiver that knows none gets those of its own `domain` before.
    pub(super) fn next_changes(
        &mut self,
        peers: &PeerTable,
        domain: Option<&DomainName>,
        is_covered: impl Fn(&Peer) -> bool,
        now: Instant,
    ) -> Vec<KnownRouter> {
        // The first changes are sent twice as all others are.
        let is_first = self.urgent.before == 0;
        let limit = if is_first {
            MAX_FIRST_CHANGES_PER_ROUND
        } else {
            MAX_CHANGES_PER_ROUND
        };
        let covered = || peers.iter().filter(|peer| is_covered(peer));
        let mut due = self
            .urgent
            .take_due(covered(), |peer| peer.urgent_change, limit);
        let left = limit - due.len();
        let other = self.other.take_due(covered(), |peer| peer.change, left);
        due.extend(other);
        due.sort_by_key(|peer| &peer.state.name);
        due.dedup_by_key(|peer| &peer.state.name);
        if is_first {
            due.sort_by_key(|peer| Some(&peer.state.domain) != domain);
        }
        due.into_iter().map(|peer| peer.to_known(now)).collect()
    }
}

/// Returns the states sent again in round `round`, whether or not they changed.
pub(super) fn rotated(peers: &PeerTable, round: u64, now: Instant) -> Vec<KnownRouter> {
    let count = MIN_ROTATED.max(peers.len().div_ceil(ROTATION_ROUNDS));
    if peers.is_empty() {
        return Vec::new();
    }
    let start = (round as usize).wrapping_mul(count) % peers.len();
    let in_turn = peers.iter().chain(peers.iter()).skip(start);
    in_turn
        .take(count.min(peers.len()))
        .map(|peer| peer.to_known(now))
        .collect()
}

/// Returns the states among `routers` that concern a receiver, which knows its own.
pub(super) fn without(routers: Vec<KnownRouter>, receiver: &RouterName) -> Vec<KnownRouter> {
    let others = routers.into_iter().filter(|r| r.state.name != *receiver);
    others.collect()
}
