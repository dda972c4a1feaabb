//! The bytes held for one connection of a caller.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::Notify;

use super::{
    account::{Account, Answer, State},
    Phase,
};
use crate::{sync::lock, Category, Clock, Error, Instant, Result};

/// Bytes of a connection without a request: its task, and the parts of its buffers that are used.
const CONNECTION_BYTES: usize = 18 * 1024;

/// Bytes of a request besides its body: its task, and the connection to the server.
const REQUEST_BYTES: usize = 24 * 1024;

/// Largest part of a read buffer beyond what an idle connection holds, in bytes; it grows with what
/// arrives.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Longest time to wait for the memory of connections that were given up.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a connection waits until it is served, and time between two attempts.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
const OPEN_INTERVAL: Duration = Duration::from_millis(100);

/// The bytes held for one connection of a caller, released with the last handle.
#[derive(Debug, Clone)]
pub struct Holding(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    account: Account,
    key: usize,
    given_up: Arc<Notify>,
}

impl Holding {
    pub(super) fn new(account: Account, key: usize, given_up: Arc<Notify>) -> Self {
        Holding(Arc::new(Inner {
            account,
            key,
            given_up,
        }))
    }

    /// Holds the bytes of an open connection, of which nothing is read before; waits for them.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there is no memory for them.
    pub async fn open(&self, clock: Clock) -> Result<()> {
        let started = clock.now();
        loop {
            let held = self.ask(CONNECTION_BYTES, clock).await;
            if held.is_ok() || clock.now().since(started) >= OPEN_TIMEOUT {
                return held;
            }
            // Those that have just arrived stand still soon.
            tokio::time::sleep(OPEN_INTERVAL).await;
        }
    }

    /// Holds the bytes of a request of which a body of `capacity` bytes is being read.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there is no memory for them; the request has not run.
    pub async fn read(&self, capacity: usize, clock: Clock) -> Result<()> {
        self.set_phase(Phase::Reading, clock.now());
        let buffers = capacity + capacity.min(READ_BUFFER_BYTES);
        let bytes = CONNECTION_BYTES + REQUEST_BYTES + buffers;
        self.ask(bytes, clock).await
    }

    /// Records that a request was read in full, which is not given up any more.
    pub fn run(&self, now: Instant) {
        self.set_phase(Phase::Running, now);
        lock(&self.0.account.0.state).entries[self.0.key].is_given_up = false;
        // Others that wait for these bytes ask again.
        self.0.account.0.released.notify_waiters();
    }

    /// Holds the bytes of a head of which `len` bytes have arrived at `now`.
    ///
    /// Where memory is short, the largest connection that stands still goes, or this one without any.
    pub fn receive(&self, len: usize, now: Instant) {
        self.set_phase(Phase::Standing, now);
        // The buffer grows by doubling while it has less room than a read takes.
        let buffer = (len + READ_BUFFER_BYTES).next_power_of_two();
        let bytes = match len < READ_BUFFER_BYTES {
            true => CONNECTION_BYTES,
            false => CONNECTION_BYTES + buffer - READ_BUFFER_BYTES,
        };
        lock(&self.0.account.0.state).take(self.0.key, bytes, now);
    }

    /// Releases the bytes of a request that has ended; its caller may use the connection again
    /// until `until`.
    pub fn keep(&self, until: Instant, now: Instant) {
        self.set_phase(Phase::Kept { until }, now);
        let mut state = lock(&self.0.account.0.state);
        let held = state.entries[self.0.key].holder.bytes;
        state.set(self.0.key, held.min(CONNECTION_BYTES));
        drop(state);
        self.0.account.0.released.notify_waiters();
    }

    /// Waits until the connection is given up for others.
    pub async fn given_up(&self) {
        loop {
            let notified = self.0.given_up.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if lock(&self.0.account.0.state).entries[self.0.key].is_given_up {
                return;
            }
            notified.await;
        }
    }

    fn set_phase(&self, phase: Phase, now: Instant) {
        let mut state = lock(&self.0.account.0.state);
        let holder = &mut state.entries[self.0.key].holder;
        if holder.phase != phase {
            holder.phase = phase;
            holder.since = now;
        }
    }

    /// Waits until `bytes` are held.
    async fn ask(&self, bytes: usize, clock: Clock) -> Result<()> {
        let shared = &self.0.account.0;
        loop {
            let released = shared.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let answer = lock(&shared.state).ask(self.0.key, bytes, clock.now());
            match answer {
                Answer::Granted => return Ok(()),
                Answer::Refused => return Err(no_memory_error()),
                Answer::Wait => {}
            }
            let may_wait = lock(&shared.state).begin_wait();
            if !may_wait {
                return Err(no_memory_error());
            }
            // Ends the wait also if the request is dropped.
            let _waiting = Waiting(&shared.state);
            let in_time = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
            in_time.map_err(|_| no_memory_error())?;
        }
    }
}

/// A connection that waits for memory, which ends when dropped.
struct Waiting<'a>(&'a Mutex<State>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(self.0).waiting -= 1;
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let mut state = lock(&self.account.0.state);
        state.set(self.key, 0);
        state.entries.remove(self.key);
        drop(state);
        self.account.0.released.notify_waiters();
    }
}

fn no_memory_error() -> Error {
    let message = "the router has no memory left for more data";
    Error::not_run(Category::Overloaded, message)
}
