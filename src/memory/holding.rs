//! The bytes held for one connection of a caller.

use std::{sync::Arc, time::Duration};

use tokio::sync::Notify;

use super::{
    account::{Account, Answer},
    Phase,
};
use crate::{sync::lock, Category, Clock, Error, Instant, Result};

/// Bytes of a connection without a request: its task, its socket and its read buffer.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Bytes of a request besides its body: the grown read buffer, and the connection to the server.
const REQUEST_BYTES: usize = 40 * 1024;

/// Longest time to wait for the memory of connections that were given up.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

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

    /// Holds the bytes of an open connection.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there is no memory for them.
    pub async fn open(&self, clock: Clock) -> Result<()> {
        self.ask(CONNECTION_BYTES, clock).await
    }

    /// Holds the bytes of a request of which a body of `capacity` bytes is being read.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there is no memory for them; the request has not run.
    pub async fn read(&self, capacity: usize, clock: Clock) -> Result<()> {
        self.set_phase(Phase::Reading, clock.now());
        let bytes = CONNECTION_BYTES + REQUEST_BYTES + capacity;
        self.ask(bytes, clock).await
    }

    /// Records that a request was read in full, which is not given up any more.
    pub fn run(&self, now: Instant) {
        self.set_phase(Phase::Running, now);
        lock(&self.0.account.0.state).entries[self.0.key].is_given_up = false;
    }

    /// Releases the bytes of a request that has ended.
    pub fn stand(&self, now: Instant) {
        self.set_phase(Phase::Standing, now);
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
        holder.phase = phase;
        holder.since = now;
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
            let in_time = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
            in_time.map_err(|_| no_memory_error())?;
        }
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
