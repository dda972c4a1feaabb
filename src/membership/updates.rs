//! Queue of the gossip updates that a router passes on to others.

use super::Update;

/// Most updates in the queue; a new one replaces the one that was sent most often.
pub const MAX_QUEUED_UPDATES: usize = 256;

/// Number of times that an update is sent, per binary digit of the fleet's size.
const RETRANSMISSIONS_PER_LOG2: u32 = 4;

/// The updates that a router passes on, each a bounded number of times.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    /// Updates with the number of times that each was sent.
    entries: Vec<(Update, u32)>,
}

impl UpdateQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        UpdateQueue::default()
    }

    /// Adds an update, which replaces an older one about the same subject.
    pub fn push(&mut self, update: Update) {
        self.entries
            .retain(|(known, _)| !same_subject(known, &update));
        if self.entries.len() >= MAX_QUEUED_UPDATES {
            let send_count = |(_, (_, sent)): &(usize, &(Update, u32))| *sent;
            let most_sent = self.entries.iter().enumerate().max_by_key(send_count);
            most_sent
                .map(|(index, _)| index)
                .map(|index| self.entries.swap_remove(index));
        }
        self.entries.push((update, 0));
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns updates of at most `max_bytes` bytes for one datagram, the least often sent first.
    ///
    /// Counts each returned update as sent once more. An update leaves the queue after a number
    /// of sends that grows with the logarithm of `fleet_size`.
    pub fn take(&mut self, max_bytes: usize, fleet_size: usize) -> Vec<Update> {
        self.entries.sort_by_key(|(_, sent)| *sent);
        let mut taken = Vec::new();
        let mut left_bytes = max_bytes;
        for (update, sent) in &mut self.entries {
            let len = update.max_len();
            if len <= left_bytes {
                left_bytes -= len;
                *sent += 1;
                taken.push(update.clone());
            }
        }
        let max_sends = RETRANSMISSIONS_PER_LOG2 * (fleet_size.max(2).ilog2() + 1);
        self.entries.retain(|(_, sent)| *sent < max_sends);
        taken
    }
}

fn same_subject(a: &Update, b: &Update) -> bool {
    match (a, b) {
        (Update::Health { name: a, .. }, Update::Health { name: b, .. })
        | (Update::RouterLeaving { name: a, .. }, Update::RouterLeaving { name: b, .. }) => a == b,
        (Update::EngineLeaving { name: a, .. }, Update::EngineLeaving { name: b, .. }) => a == b,
        _ => false,
    }
}
