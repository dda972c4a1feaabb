//! Rejects datagrams that are replayed or whose send time is too far from the local time.

use std::{collections::BTreeMap, time::Duration};

use crate::{membership::Datagram, Incarnation, RouterName, UnixMillis};

/// Largest accepted difference between the send time of a datagram and the local wall clock.
pub const MAX_SEND_TIME_SKEW: Duration = Duration::from_secs(10);

/// Largest number of senders tracked; the one whose latest datagram is oldest is evicted.
pub const MAX_SENDERS: usize = 1_024;

/// Width of the window of sequence numbers, counted down from the highest one received,
/// within which datagrams may arrive out of order.
const REPLAY_WINDOW_SEQUENCES: u64 = 128;

/// The sequence numbers received from one sender.
#[derive(Debug, Clone, Copy)]
struct SenderWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set once the number `highest - n` has been received.
    received: u128,
    latest_sent: UnixMillis,
}

/// A filter that accepts each datagram of each sender once.
///
/// Its state is lost when the receiver restarts, so a datagram recorded within
/// [`MAX_SEND_TIME_SKEW`] before the restart is accepted once more. The content of a datagram is
/// versioned, so such a replay changes nothing that the sender's next datagram does not.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    senders: BTreeMap<RouterName, SenderWindow>,
}

impl ReplayFilter {
    /// Records `datagram` and returns `true`, unless its send time is too far from `wall` or it
    /// has been received before.
    pub fn accept(&mut self, datagram: &Datagram, wall: UnixMillis) -> bool {
        let age = wall
            .since(datagram.sent_at)
            .max(datagram.sent_at.since(wall));
        if age > MAX_SEND_TIME_SKEW {
            return false;
        }
        if let Some(window) = self.senders.get_mut(&datagram.from) {
            return window.accept(datagram);
        }
        self.evict_if_full();
        let window = SenderWindow {
            incarnation: datagram.epoch.incarnation,
            highest: datagram.sequence,
            received: 1,
            latest_sent: datagram.sent_at,
        };
        self.senders.insert(datagram.from.clone(), window);
        true
    }

    /// Evicts the sender whose latest datagram is oldest when the filter is full.
    fn evict_if_full(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.latest_sent);
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.and_then(|name| self.senders.remove(&name));
    }

    /// Returns the number of senders that are tracked.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is tracked.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }
}

impl SenderWindow {
    /// Records the datagram, unless it belongs to an earlier incarnation or is a replay.
    fn accept(&mut self, datagram: &Datagram) -> bool {
        let incarnation = datagram.epoch.incarnation;
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.highest = datagram.sequence;
            self.received = 1;
        } else if !self.accept_sequence(datagram.sequence) {
            return false;
        }
        self.latest_sent = self.latest_sent.max(datagram.sent_at);
        true
    }

    /// Records the number, unless it has been received before or is below the window.
    fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead < REPLAY_WINDOW_SEQUENCES {
                self.received << ahead
            } else {
                0
            };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let bit = if behind < REPLAY_WINDOW_SEQUENCES {
            1 << behind
        } else {
            return false;
        };
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}
