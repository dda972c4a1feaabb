//! Asynchronous interface of the fair queues, used by the tasks of waiting requests.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::{retry_delay, FairQueue, QueueEntry, WaitId};
use crate::{sync::lock, Category, Clock, EngineName, Error, Instant, PoolName, Result};

/// Shortest pause of the turn's holder between two attempts to get a slot.
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Longest pause of the turn's holder between two attempts to get a slot.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// Maximum number of engines with freed slots that are kept for the turn's holder.
const MAX_FREED_ENGINES: usize = 64;

/// Mean delay before a retry that is proposed to a caller whose request found no slot.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The queues of all pools at one router.
#[derive(Debug, Default)]
pub struct PoolQueues {
    pools: Mutex<BTreeMap<PoolName, PoolQueue>>,
}

#[derive(Debug)]
struct PoolQueue {
    queue: FairQueue,
    /// Wakes a request that got the turn or was evicted.
    notifiers: SecondaryMap<WaitId, Arc<Notify>>,
    /// Engines that have freed slots since the last turn.
    freed_engines: VecDeque<EngineName>,
    /// Ends the pause of the turn's holder.
    slot_freed: Arc<Notify>,
    backoff: Duration,
}

impl PoolQueue {
    fn new() -> Self {
        PoolQueue {
            queue: FairQueue::new(),
            notifiers: SecondaryMap::new(),
            freed_engines: VecDeque::new(),
            slot_freed: Arc::default(),
            backoff: MIN_BACKOFF,
        }
    }

    fn give_turn(&mut self, now: Instant) {
        let due = self.queue.grant_turn(now);
        self.notify(due);
    }

    fn notify(&self, id: Option<WaitId>) {
        if let Some(notifier) = id.and_then(|id| self.notifiers.get(id)) {
            notifier.notify_one();
        }
    }
}

impl PoolQueues {
    /// Returns whether requests wait for `pool`, so that a new request must wait as well.
    pub fn is_waiting(&self, pool: &PoolName) -> bool {
        lock(&self.pools).contains_key(pool)
    }

    /// Returns the number of waiting requests by pool.
    pub fn waiting(&self) -> BTreeMap<PoolName, usize> {
        let pools = lock(&self.pools);
        let count =
            |(pool, pool_queue): (&PoolName, &PoolQueue)| (pool.clone(), pool_queue.queue.len());
        pools.iter().map(count).collect()
    }

    /// Wakes the request that holds the turn of `pool`, because `engine` has a free slot.
    pub fn notify_slot_freed(&self, pool: &PoolName, engine: &EngineName) {
        if let Some(pool_queue) = lock(&self.pools).get_mut(pool) {
            if pool_queue.freed_engines.len() < MAX_FREED_ENGINES {
                pool_queue.freed_engines.push_back(engine.clone());
            }
            pool_queue.slot_freed.notify_one();
        }
    }

    /// Adds a request to the queue of `pool`.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the queue is full.
    pub fn enqueue(
        self: &Arc<Self>,
        pool: &PoolName,
        entry: QueueEntry<'_>,
        clock: Clock,
    ) -> Result<Waiter> {
        let mut pools = lock(&self.pools);
        let pool_queue = pools.entry(pool.clone()).or_insert_with(PoolQueue::new);
        let enqueued = pool_queue.queue.enqueue(entry);
        let enqueued = enqueued.map_err(|_| overloaded_error("the queue of the pool is full"))?;
        let notifier = Arc::new(Notify::new());
        pool_queue.notifiers.insert(enqueued.id, notifier.clone());
        pool_queue.notify(enqueued.evicted);
        pool_queue.give_turn(clock.now());
        Ok(Waiter {
            queues: self.clone(),
            pool: pool.clone(),
            id: enqueued.id,
            deadline: entry.deadline,
            clock,
            notifier,
            slot_freed: pool_queue.slot_freed.clone(),
        })
    }
}

fn overloaded_error(message: &str) -> Error {
    let delay = retry_delay(OVERLOAD_RETRY_DELAY, &mut rand::rng());
    Error::not_run(Category::Overloaded, message).with_retry_after(delay)
}

/// A request in the queue of a pool; dropping it removes the request from the queue.
#[derive(Debug)]
pub struct Waiter {
    queues: Arc<PoolQueues>,
    pool: PoolName,
    id: WaitId,
    deadline: Instant,
    clock: Clock,
    notifier: Arc<Notify>,
    slot_freed: Arc<Notify>,
}

impl Waiter {
    /// Waits for the turn, and returns the engines that have freed slots since the last turn.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the deadline passes or the request is
    /// evicted to make room for another team.
    pub async fn wait_for_turn(&self) -> Result<Vec<EngineName>> {
        loop {
            if let Some(freed) = self.try_take_freed_engines()? {
                return Ok(freed);
            }
            let remaining = self.deadline.since(self.clock.now());
            // The next iteration detects a passed deadline.
            drop(tokio::time::timeout(remaining, self.notifier.notified()).await);
        }
    }

    fn try_take_freed_engines(&self) -> Result<Option<Vec<EngineName>>> {
        let now = self.clock.now();
        if self.deadline <= now {
            return Err(overloaded_error(
                "no engine had a free slot before the deadline",
            ));
        }
        let mut pools = lock(&self.queues.pools);
        let pool_queue = pools.get_mut(&self.pool);
        let pool_queue = pool_queue.filter(|pool_queue| pool_queue.queue.contains(self.id));
        let pool_queue = pool_queue.ok_or_else(|| {
            overloaded_error("the request was evicted from the queue to make room for another team")
        })?;
        let has_turn = pool_queue.queue.has_turn(self.id);
        Ok(has_turn.then(|| pool_queue.freed_engines.drain(..).collect()))
    }

    /// Pauses after a failed attempt to get a slot, then passes the turn on.
    ///
    /// A freed slot ends the pause early.
    pub async fn back_off(&self) {
        let backoff = self
            .next_backoff()
            .min(self.deadline.since(self.clock.now()));
        // A timeout and a freed slot both lead to the next attempt.
        drop(tokio::time::timeout(backoff, self.slot_freed.notified()).await);
        if let Some(pool_queue) = lock(&self.queues.pools).get_mut(&self.pool) {
            pool_queue.queue.yield_turn(self.id);
            pool_queue.give_turn(self.clock.now());
        }
    }

    fn next_backoff(&self) -> Duration {
        let mut pools = lock(&self.queues.pools);
        let Some(pool_queue) = pools.get_mut(&self.pool) else {
            return MIN_BACKOFF;
        };
        let backoff = pool_queue.backoff;
        pool_queue.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff
    }

    /// Leaves the queue after the request got a slot.
    pub fn leave_with_slot(self) {
        if let Some(pool_queue) = lock(&self.queues.pools).get_mut(&self.pool) {
            pool_queue.queue.remove_placed(self.id);
            pool_queue.backoff = MIN_BACKOFF;
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut pools = lock(&self.queues.pools);
        let Some(pool_queue) = pools.get_mut(&self.pool) else {
            return;
        };
        pool_queue.queue.remove(self.id);
        pool_queue.notifiers.remove(self.id);
        pool_queue.give_turn(self.clock.now());
        if pool_queue.queue.is_empty() && pool_queue.notifiers.is_empty() {
            pools.remove(&self.pool);
        }
    }
}
