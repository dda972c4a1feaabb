//! The account and its state.

use std::sync::{Arc, Mutex};

use slab::Slab;
use tokio::sync::Notify;

use super::{choose, Holder, Holding, Phase, Reservation};
use crate::{sync::lock, Instant};

/// Part of the account that connections and the bodies of requests may fill, in quarters; the rest
/// is kept for responses.
const CALLER_QUARTERS: usize = 3;

/// Part of the account, as a divisor, that buffers for servers may fill.
const SERVER_DIVISOR: usize = 2;

/// Largest number of connections that wait for memory at a time; what they have sent already is not
/// counted meanwhile.
const MAX_WAITING: usize = 96;

/// Part of the largest sum since the last trim, as a divisor, below which memory is returned.
const TRIM_DIVISOR: usize = 2;

/// Smallest difference to the largest sum for which memory is returned, in bytes.
const MIN_TRIM_BYTES: usize = 2 << 20;

/// Account of the bytes held for callers and servers, which connections and buffers share.
#[derive(Debug, Clone)]
pub struct Account(pub(super) Arc<Shared>);

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) state: Mutex<State>,
    /// Notified when bytes are released.
    pub(super) released: Notify,
}

/// A connection in the account.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) holder: Holder,
    pub(super) is_given_up: bool,
    /// Notified when the connection is given up.
    pub(super) given_up: Arc<Notify>,
}

#[derive(Debug)]
pub(super) struct State {
    limit: usize,
    for_callers: usize,
    for_servers: usize,
    /// Largest sum since memory was returned.
    largest: usize,
    given_up: u64,
    /// Connections that wait for memory.
    pub(super) waiting: usize,
    pub(super) entries: Slab<Entry>,
}

/// Outcome of asking for more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Granted,
    /// Others were given up, and their bytes will be released.
    Wait,
    Refused,
}

impl Account {
    /// Creates an account of `limit` bytes.
    pub fn with_limit(limit: usize) -> Self {
        Account(Arc::new(Shared {
            state: Mutex::new(State {
                limit,
                for_callers: 0,
                for_servers: 0,
                largest: 0,
                given_up: 0,
                waiting: 0,
                entries: Slab::new(),
            }),
            released: Notify::new(),
        }))
    }

    /// Starts to hold bytes for a caller's connection, none at first.
    pub fn holding(&self, now: Instant) -> Holding {
        let given_up = Arc::new(Notify::new());
        let entry = Entry {
            holder: Holder {
                bytes: 0,
                phase: Phase::Standing,
                since: now,
            },
            is_given_up: false,
            given_up: given_up.clone(),
        };
        let key = lock(&self.0.state).entries.insert(entry);
        Holding::new(self.clone(), key, given_up)
    }

    /// Starts the reservation of one buffer for what a server sends.
    pub fn reservation(&self) -> Reservation {
        Reservation::new(self.clone())
    }

    /// Gives up at most `count` connections that stand still at `now`, to accept others; of those
    /// that their callers may still use again, one at a time and only without any other.
    pub fn make_room(&self, count: usize, now: Instant) {
        let mut state = lock(&self.0.state);
        for _ in 0..count {
            match state.give_one_up(usize::MAX, now) {
                None | Some(Phase::Kept { .. }) => break,
                Some(_) => {}
            }
        }
    }

    /// Returns the bytes held for callers and for servers.
    pub fn held(&self) -> (usize, usize) {
        let state = lock(&self.0.state);
        (state.for_callers, state.for_servers)
    }

    /// Returns the number of connections given up so far.
    pub fn given_up(&self) -> u64 {
        lock(&self.0.state).given_up
    }

    /// Returns whether much less is held than before, so that free memory can be returned to the
    /// system; the next comparison is with what is held now.
    pub fn take_trim_due(&self) -> bool {
        let mut state = lock(&self.0.state);
        let sum = state.for_callers + state.for_servers;
        let is_due = sum <= state.largest / TRIM_DIVISOR && state.largest - sum >= MIN_TRIM_BYTES;
        if is_due {
            state.largest = sum;
        }
        is_due
    }
}

impl State {
    /// Sets the bytes of the connection `key`, which may displace others if it grows.
    pub(super) fn ask(&mut self, key: usize, bytes: usize, now: Instant) -> Answer {
        let held = self.entries[key].holder.bytes;
        let others = self.for_callers - held;
        let sum = others + bytes;
        if bytes <= held
            || sum <= self.limit / 4 * CALLER_QUARTERS && sum + self.for_servers <= self.limit
        {
            self.set(key, bytes);
            return Answer::Granted;
        }
        match self.make_release(key, bytes, now) {
            true => Answer::Wait,
            false => Answer::Refused,
        }
    }

    /// Adds bytes of the connection `key` that have arrived already; where they don't fit, another
    /// one is given up, or else this one.
    pub(super) fn take(&mut self, key: usize, bytes: usize, now: Instant) {
        let held = self.entries[key].holder.bytes;
        if bytes <= held {
            return;
        }
        let answer = self.ask(key, bytes, now);
        self.set(key, bytes);
        if answer == Answer::Refused {
            self.give_up(key);
        }
    }

    /// Begins to wait for memory; returns whether another one may.
    pub(super) fn begin_wait(&mut self) -> bool {
        let may_wait = self.waiting < MAX_WAITING;
        self.waiting += usize::from(may_wait);
        may_wait
    }

    /// Sees to it that another connection than `key` releases bytes; returns whether one does.
    fn make_release(&mut self, key: usize, bytes: usize, now: Instant) -> bool {
        // What was given up before is released first.
        let is_pending = |entry: &Entry| entry.is_given_up && entry.holder.bytes > 0;
        let mut others = self.entries.iter().filter(|(other, _)| *other != key);
        others.any(|(_, entry)| is_pending(entry)) || self.give_one_up(bytes, now).is_some()
    }

    /// Sets the bytes of the connection `key`.
    pub(super) fn set(&mut self, key: usize, bytes: usize) {
        let holder = &mut self.entries[key].holder;
        self.for_callers = self.for_callers - holder.bytes + bytes;
        holder.bytes = bytes;
        self.record_sum();
    }

    /// Changes the bytes of buffers for servers; returns whether they fit.
    pub(super) fn change_for_servers(&mut self, from: usize, to: usize) -> bool {
        let sum = self.for_servers - from + to;
        let limit = self.limit / SERVER_DIVISOR;
        if to > from && (sum > limit || sum + self.for_callers > self.limit) {
            return false;
        }
        self.for_servers = sum;
        self.record_sum();
        true
    }

    fn record_sum(&mut self) {
        self.largest = self.largest.max(self.for_callers + self.for_servers);
    }

    /// Gives up one connection for another of `asker_bytes`; returns what it was doing.
    fn give_one_up(&mut self, asker_bytes: usize, now: Instant) -> Option<Phase> {
        let entries = self.entries.iter().filter(|(_, entry)| !entry.is_given_up);
        let holders = entries.map(|(key, entry)| (key, &entry.holder));
        let key = choose(holders, asker_bytes, now)?;
        self.give_up(key);
        Some(self.entries[key].holder.phase)
    }

    fn give_up(&mut self, key: usize) {
        let entry = &mut self.entries[key];
        if !entry.is_given_up {
            entry.is_given_up = true;
            entry.given_up.notify_waiters();
            self.given_up += 1;
        }
    }
}
