//! Rumours that are still to be passed on.

use super::Update;

/// Most rumours that are passed on at a time; the most often sent ones give way.
pub const MAX_QUEUED_UPDATES: usize = 256;

/// Times that a rumour is sent, as a multiple of the logarithm of the fleet's size.
const RETRANSMISSIONS: u32 = 4;

/// The rumours of a router, each sent a bounded number of times.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    entries: Vec<(Update, u32)>,
}

impl UpdateQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        UpdateQueue::default()
    }

    /// Adds news; it replaces what is older about the same subject.
    pub fn push(&mut self, rumour: Update) {
        self.entries
            .retain(|(known, _)| !same_subject(known, &rumour));
        if self.entries.len() >= MAX_QUEUED_UPDATES {
            let sent = |(_, (_, sent)): &(usize, &(Update, u32))| *sent;
            let most_sent = self.entries.iter().enumerate().max_by_key(sent);
            most_sent
                .map(|(at, _)| at)
                .map(|at| self.entries.swap_remove(at));
        }
        self.entries.push((rumour, 0));
    }

    /// Returns whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of rumours.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Takes rumours of at most `room` bytes for one datagram, the least often sent first.
    pub fn take(&mut self, room: usize, fleet: usize) -> Vec<Update> {
        self.entries.sort_by_key(|(_, sent)| *sent);
        let mut taken = Vec::new();
        let mut left = room;
        for (rumour, sent) in &mut self.entries {
            let len = rumour.max_len();
            if len <= left {
                left -= len;
                *sent += 1;
                taken.push(rumour.clone());
            }
        }
        let limit = RETRANSMISSIONS * (fleet.max(2).ilog2() + 1);
        self.entries.retain(|(_, sent)| *sent < limit);
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
