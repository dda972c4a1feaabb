//! Rumours that are still to be passed on.

use super::Rumour;

/// Most rumours that are passed on at a time; the most often sent ones give way.
pub const MAX_RUMOURS: usize = 256;

/// Times that a rumour is sent, as a multiple of the logarithm of the fleet's size.
const RETRANSMISSIONS: u32 = 4;

/// The rumours of a router, each sent a bounded number of times.
#[derive(Debug, Default)]
pub struct RumourQueue {
    entries: Vec<(Rumour, u32)>,
}

impl RumourQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        RumourQueue::default()
    }

    /// Adds news; it replaces what is older about the same subject.
    pub fn push(&mut self, rumour: Rumour) {
        self.entries
            .retain(|(known, _)| !same_subject(known, &rumour));
        if self.entries.len() >= MAX_RUMOURS {
            let sent = |(_, (_, sent)): &(usize, &(Rumour, u32))| *sent;
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
    pub fn take(&mut self, room: usize, fleet: usize) -> Vec<Rumour> {
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

fn same_subject(a: &Rumour, b: &Rumour) -> bool {
    match (a, b) {
        (Rumour::Health { name: a, .. }, Rumour::Health { name: b, .. })
        | (Rumour::RouterLeaving { name: a, .. }, Rumour::RouterLeaving { name: b, .. }) => a == b,
        (Rumour::EngineLeaving { name: a, .. }, Rumour::EngineLeaving { name: b, .. }) => a == b,
        _ => false,
    }
}
