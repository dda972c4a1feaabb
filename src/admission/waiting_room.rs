//! The requests that wait at this router for room in one pool.
//!
//! Load pattern: several times the usual traffic, one team at several times its usual share, and callers
//! that come back at once.
//!
//! Requests go by urgency, then fairly between teams. What cannot have its turn in time is refused at
//! once: the queue holds no more than the pool takes within the longest wait, and a request that would
//! come later than a new one makes room for it.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{pool_rate::Crowding, Class, Decision, FairQueue, PoolRate, QueueEntry, WaitId};
use crate::{Instant, TeamName};

/// Longest time for which a request waits.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// Number of requests that may wait however low the rate is.
const MIN_ROOM: usize = 3;

/// Largest number of requests that wait for one pool.
const MAX_ROOM: usize = 64;

/// Maximum number of turns in a row for the most urgent requests while less urgent ones wait.
const MAX_URGENT_RUN: u32 = 4;

/// A request that asks for room.
#[derive(Debug, Clone, Copy)]
pub struct RoomRequest<'a> {
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Team of the request.
    pub team: &'a TeamName,
    /// Time at which a request that still waits is refused.
    pub latest: Instant,
}

/// A request in a waiting room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    urgency: u8,
    id: WaitId,
}

/// The requests that wait for room in one pool, and the rate at which they get it.
#[derive(Debug)]
pub struct WaitingRoom {
    rate: PoolRate,
    queues: BTreeMap<u8, FairQueue>,
    /// Requests that got room and have not learned of it.
    admitted: BTreeSet<Ticket>,
    /// Turns of the most urgent requests since one of a less urgent one.
    urgent_run: u32,
}

impl WaitingRoom {
    /// Creates the empty waiting room of a pool whose servers have room.
    pub fn new(now: Instant) -> Self {
        WaitingRoom {
            rate: PoolRate::new(now),
            queues: BTreeMap::new(),
            admitted: BTreeSet::new(),
            urgent_run: 0,
        }
    }

    /// Returns the rate at which requests get room.
    pub fn rate(&self) -> &PoolRate {
        &self.rate
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records what a response tells of the crowding of its server.
    pub fn record_response(&mut self, crowding: Crowding, now: Instant) {
        self.rate.record_response(crowding, now);
    }

    /// Admits a request if there is room and none waits.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let has_room = self.is_empty() && self.rate.wait(now).is_zero();
        if has_room {
            self.rate.record_sent(now);
        }
        has_room
    }

    /// Adds a request to the queue; `None` if it would be served too late, or later than all others.
    pub fn enter(&mut self, req: RoomRequest<'_>, now: Instant) -> Option<Ticket> {
        self.expire(now);
        if self.len() >= self.capacity(now) {
            self.displace(req)?;
        }
        let entry = QueueEntry {
            team: req.team,
            share: 1,
            class: Class::Interactive,
            deadline: req.latest,
        };
        let queue = self.queues.entry(req.urgency).or_default();
        let enqueued = queue.enqueue(entry).ok()?;
        Some(Ticket {
            urgency: req.urgency,
            id: enqueued.id,
        })
    }

    /// Decides on a request that waits.
    pub fn decide(&mut self, ticket: Ticket, now: Instant) -> Decision<()> {
        self.expire(now);
        self.admit_due(now);
        if self.admitted.remove(&ticket) {
            return Decision::Admit(());
        }
        let queue = self.queues.get(&ticket.urgency);
        if !queue.is_some_and(|queue| queue.contains(ticket.id)) {
            return Decision::Reject {
                retry_after: self.expected_wait(now),
                reason: "no room in time",
            };
        }
        Decision::Wait {
            until: now + self.rate.wait(now),
        }
    }

    /// Removes a request whose caller no longer waits.
    pub fn leave(&mut self, ticket: Ticket) {
        if self.admitted.remove(&ticket) {
            self.rate.record_unsent();
        }
        if let Some(queue) = self.queues.get_mut(&ticket.urgency) {
            queue.remove(ticket.id);
        }
    }

    /// Returns the time after which those that wait now will have got room.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let rate = self.rate.limit(now);
        let wait = |rate| Duration::from_secs_f64(self.len() as f64 / rate);
        rate.map_or(Duration::ZERO, wait)
    }

    /// Returns the number of requests that get room within the longest wait.
    fn capacity(&self, now: Instant) -> usize {
        let rate = self.rate.limit(now).unwrap_or(f64::MAX);
        let served = rate * MAX_WAIT.as_secs_f64();
        (served as usize).clamp(MIN_ROOM, MAX_ROOM)
    }

    /// Removes a request that comes later than `req`; `None` if there is none.
    fn displace(&mut self, req: RoomRequest<'_>) -> Option<WaitId> {
        let mut waiting = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.is_empty());
        let (urgency, queue) = waiting.next_back()?;
        match urgency.cmp(&req.urgency) {
            Ordering::Greater => queue.displace_last(),
            Ordering::Equal => queue.displace_for(req.team),
            Ordering::Less => None,
        }
    }

    fn expire(&mut self, now: Instant) {
        for queue in self.queues.values_mut() {
            queue.expire(now);
        }
    }

    /// Gives room to those whose turn it is.
    fn admit_due(&mut self, now: Instant) {
        while self.rate.wait(now).is_zero() {
            let Some(ticket) = self.next_turn(now) else {
                return;
            };
            self.rate.record_sent(now);
            self.admitted.insert(ticket);
        }
    }

    /// Removes and returns the request whose turn it is.
    fn next_turn(&mut self, now: Instant) -> Option<Ticket> {
        let mut waiting = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| !queue.is_empty());
        let most_urgent = waiting.next()?;
        let due = waiting.next().filter(|_| self.urgent_run >= MAX_URGENT_RUN);
        self.urgent_run = match due {
            Some(_) => 0,
            None => self.urgent_run.saturating_add(1),
        };
        let (urgency, queue) = due.unwrap_or(most_urgent);
        let id = queue.grant_turn(now)?;
        queue.remove_placed(id);
        Some(Ticket {
            urgency: *urgency,
            id,
        })
    }
}
