//! Refuses datagrams that have been received before, or that are old.

use std::{collections::BTreeMap, time::Duration};

use crate::{membership::Datagram, Incarnation, RouterName, UnixMillis};

/// Greatest difference between the sender's and the receiver's wall time.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Most senders that are remembered; the one with the oldest datagram gives way.
pub const MAX_SENDERS: usize = 1_024;

/// Sequence numbers below the highest one that may still arrive.
const WINDOW: u64 = 128;

/// What has been received from one sender.
#[derive(Debug, Clone, Copy)]
struct Received {
    life: Incarnation,
    highest: u64,
    /// Bit `n` stands for the number `highest - n`.
    seen: u128,
    sent: UnixMillis,
}

/// The datagrams that were received from each sender.
///
/// A receiver that restarts has forgotten them, so that a datagram recorded within
/// [`MAX_CLOCK_SKEW`] before the restart is accepted once more. What it says is versioned and
/// changes nothing that the sender's next datagram does not.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: BTreeMap<RouterName, Received>,
}

impl ReplayFilter {
    /// Returns whether `datagram` is fresh and new, and remembers it.
    pub fn accept(&mut self, datagram: &Datagram, wall: UnixMillis) -> bool {
        let age = wall
            .since(datagram.sent_at)
            .max(datagram.sent_at.since(wall));
        if age > MAX_CLOCK_SKEW {
            return false;
        }
        if let Some(received) = self.senders.get_mut(&datagram.from) {
            return received.accept(datagram);
        }
        self.make_room();
        let received = Received {
            life: datagram.epoch.incarnation,
            highest: datagram.sequence,
            seen: 1,
            sent: datagram.sent_at,
        };
        self.senders.insert(datagram.from.clone(), received);
        true
    }

    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, received)| received.sent);
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.and_then(|name| self.senders.remove(&name));
    }

    /// Returns the number of senders that are remembered.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is remembered.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }
}

impl Received {
    fn accept(&mut self, datagram: &Datagram) -> bool {
        let life = datagram.epoch.incarnation;
        if life < self.life {
            return false;
        }
        if life > self.life {
            self.life = life;
            self.highest = datagram.sequence;
            self.seen = 1;
        } else if !self.accept_sequence(datagram.sequence) {
            return false;
        }
        self.sent = self.sent.max(datagram.sent_at);
        true
    }

    fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW {
                self.seen << ahead
            } else {
                0
            };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let bit = if behind < WINDOW {
            1 << behind
        } else {
            return false;
        };
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
