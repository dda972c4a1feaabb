//! The clients of a relay, and the state changes that each of them has been sent.

use std::{cmp::Reverse, net::SocketAddr};

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

/// Number of rounds in which an urgent change is sent to a receiver.
///
/// Of receivers in the hundreds, some lose both datagrams of two rounds.
const URGENT_ROUNDS: usize = 4;

/// Number of rounds in which any other change is sent to a receiver.
const OTHER_ROUNDS: usize = 2;

/// Maximum number of changes that are sent for the third time or later in a round.
///
/// The states of many routers that are discovered at once are sent again in turn.
const MAX_LATE_REPEATS: usize = 8;

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
    urgent: SentChanges<URGENT_ROUNDS>,
    other: SentChanges<OTHER_ROUNDS>,
}

/// Numbers of the latest changes of one kind that a receiver has been sent, by the end of each of the
/// last `ROUNDS` rounds, the last one first.
#[derive(Debug, Clone, Copy)]
struct SentChanges<const ROUNDS: usize>([u64; ROUNDS]);

impl<const ROUNDS: usize> Default for SentChanges<ROUNDS> {
    fn default() -> Self {
        SentChanges([0; ROUNDS])
    }
}

impl<const ROUNDS: usize> SentChanges<ROUNDS> {
    /// Returns the highest number of changes that have not been sent in all of their rounds.
    fn repeat_count(&self) -> u64 {
        self.0[0] - self.0[ROUNDS - 1]
    }

    /// Returns whether no change has been sent twice.
    fn is_first(&self) -> bool {
        self.0[1] == 0
    }

    /// Returns the peers whose changes are due, `limit` at most: those that were not sent yet, those
    /// of the last round, and then the latest ones of the rounds before.
    ///
    /// `number` returns the number of the latest change of a peer.
    fn take_due<'a>(
        &mut self,
        peers: impl Iterator<Item = &'a Peer>,
        number: impl Fn(&Peer) -> u64,
        limit: usize,
    ) -> Vec<&'a Peer> {
        let [latest, before] = [self.0[0], self.0[1]];
        let due = peers.filter(|peer| number(peer) > self.0[ROUNDS - 1]);
        let (mut due, sent): (Vec<_>, Vec<_>) = due.partition(|peer| number(peer) > latest);
        due.sort_by_key(|peer| number(peer));
        due.truncate(limit);
        self.0.rotate_right(1);
        self.0[0] = due.last().map_or(latest, |peer| number(peer));
        let (sent_once, mut sent_again): (Vec<_>, Vec<_>) =
            sent.into_iter().partition(|peer| number(peer) > before);
        sent_again.sort_by_key(|peer| Reverse(number(peer)));
        sent_again.truncate(MAX_LATE_REPEATS);
        due.extend(sent_once);
        due.extend(sent_again);
        due.truncate(limit);
        due
    }
}

impl ChangeCursor {
    /// Returns whether urgent changes are to be sent again without delay.
    ///
    /// Many at once, as when a fleet starts, are left to the periodic rounds.
    pub(super) fn has_repeats(&self) -> bool {
        (1..=MAX_LATE_REPEATS as u64).contains(&self.urgent.repeat_count())
    }

    /// Returns the states to send in this round among those that `is_covered` selects.
    ///
    /// Changes are sent as soon as possible and again in the next rounds, urgent ones first; a
    /// receiver that knows none gets those of its own `domain` before.
    pub(super) fn next_changes(
        &mut self,
        peers: &PeerTable,
        domain: Option<&DomainName>,
        is_covered: impl Fn(&Peer) -> bool,
        now: Instant,
    ) -> Vec<KnownRouter> {
        // The first changes are sent twice as all others are.
        let is_first = self.urgent.is_first();
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
