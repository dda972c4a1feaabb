//! Waiting for an engine: the task side of the queue.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::{retry_delay, FairQueue, QueueEntry, WaitId};
use crate::{sync::lock, Category, Clock, EngineName, Error, Instant, PoolName, Result};

/// Shortest pause between two attempts of the turn's holder to get a slot.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause between two attempts of the turn's holder to get a slot.
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// Most engines with freed slots that are remembered for the turn's holder.
const MAX_FREED: usize = 64;

/// Delay proposed to a caller whose request found no slot, before jitter.
const OVERLOAD_DELAY: Duration = Duration::from_secs(2);

/// The queues of all pools.
#[derive(Debug, Default)]
pub struct PoolQueues {
    pools: Mutex<BTreeMap<PoolName, PoolQueue>>,
}

#[derive(Debug)]
struct PoolQueue {
    queue: FairQueue,
    alarms: SecondaryMap<WaitId, Arc<Notify>>,
    freed: VecDeque<EngineName>,
    wake: Arc<Notify>,
    pause: Duration,
}

impl PoolQueue {
    fn new() -> Self {
        PoolQueue {
            queue: FairQueue::new(),
            alarms: SecondaryMap::new(),
            freed: VecDeque::new(),
            wake: Arc::default(),
            pause: MIN_PAUSE,
        }
    }

    fn give_turn(&mut self, now: Instant) {
        let due = self.queue.grant_turn(now);
        self.notify(due);
    }

    fn notify(&self, id: Option<WaitId>) {
        if let Some(alarm) = id.and_then(|id| self.alarms.get(id)) {
            alarm.notify_one();
        }
    }
}

impl PoolQueues {
    /// Returns whether requests wait for `pool`; a new one must wait behind them.
    pub fn is_waiting(&self, pool: &PoolName) -> bool {
        lock(&self.pools).contains_key(pool)
    }

    /// Returns the number of waiting requests by pool.
    pub fn waiting(&self) -> BTreeMap<PoolName, usize> {
        let pools = lock(&self.pools);
        let count = |(pool, line): (&PoolName, &PoolQueue)| (pool.clone(), line.queue.len());
        pools.iter().map(count).collect()
    }

    /// Wakes the request that is due, because a slot on `engine` of `pool` is free.
    pub fn notify_slot_freed(&self, pool: &PoolName, engine: &EngineName) {
        if let Some(line) = lock(&self.pools).get_mut(pool) {
            if line.freed.len() < MAX_FREED {
                line.freed.push_back(engine.clone());
            }
            line.wake.notify_one();
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
        applicant: QueueEntry<'_>,
        clock: Clock,
    ) -> Result<Waiter> {
        let mut pools = lock(&self.pools);
        let line = pools.entry(pool.clone()).or_insert_with(PoolQueue::new);
        let entered = line.queue.enqueue(applicant);
        let entered = entered.map_err(|_| refusal("too many requests wait for the pool"))?;
        let alarm = Arc::new(Notify::new());
        line.alarms.insert(entered.id, alarm.clone());
        line.notify(entered.evicted);
        line.give_turn(clock.now());
        Ok(Waiter {
            lines: self.clone(),
            pool: pool.clone(),
            id: entered.id,
            deadline: applicant.deadline,
            clock,
            alarm,
            wake: line.wake.clone(),
        })
    }
}

fn refusal(message: &str) -> Error {
    let delay = retry_delay(OVERLOAD_DELAY, &mut rand::rng());
    Error::not_run(Category::Overloaded, message).with_retry_after(delay)
}

/// A request in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct Waiter {
    lines: Arc<PoolQueues>,
    pool: PoolName,
    id: WaitId,
    deadline: Instant,
    clock: Clock,
    alarm: Arc<Notify>,
    wake: Arc<Notify>,
}

impl Waiter {
    /// Waits for the turn, and returns the engines that are known to have freed slots.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the deadline passes or another team's
    /// request takes the place.
    pub async fn wait_for_turn(&self) -> Result<Vec<EngineName>> {
        loop {
            if let Some(freed) = self.take_turn()? {
                return Ok(freed);
            }
            let left = self.deadline.since(self.clock.now());
            // A passed deadline is found by the next check.
            drop(tokio::time::timeout(left, self.alarm.notified()).await);
        }
    }

    fn take_turn(&self) -> Result<Option<Vec<EngineName>>> {
        let now = self.clock.now();
        if self.deadline <= now {
            return Err(refusal("no engine was free in time"));
        }
        let mut pools = lock(&self.lines.pools);
        let line = pools.get_mut(&self.pool);
        let line = line.filter(|line| line.queue.contains(self.id));
        let line = line.ok_or_else(|| refusal("the request gave way to those of other teams"))?;
        let holds = line.queue.has_turn(self.id);
        Ok(holds.then(|| line.freed.drain(..).collect()))
    }

    /// Pauses after a vain attempt to get a slot, then lets the request that is due try.
    pub async fn back_off(&self) {
        let pause = self.next_pause().min(self.deadline.since(self.clock.now()));
        // Either end of the pause leads to the next attempt.
        drop(tokio::time::timeout(pause, self.wake.notified()).await);
        if let Some(line) = lock(&self.lines.pools).get_mut(&self.pool) {
            line.queue.yield_turn(self.id);
            line.give_turn(self.clock.now());
        }
    }

    fn next_pause(&self) -> Duration {
        let mut pools = lock(&self.lines.pools);
        let Some(line) = pools.get_mut(&self.pool) else {
            return MIN_PAUSE;
        };
        let pause = line.pause;
        line.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Leaves the queue with a slot.
    pub fn leave_with_slot(self) {
        if let Some(line) = lock(&self.lines.pools).get_mut(&self.pool) {
            line.queue.remove_placed(self.id);
            line.pause = MIN_PAUSE;
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut pools = lock(&self.lines.pools);
        let Some(line) = pools.get_mut(&self.pool) else {
            return;
        };
        line.queue.remove(self.id);
        line.alarms.remove(self.id);
        line.give_turn(self.clock.now());
        if line.queue.is_empty() && line.alarms.is_empty() {
            pools.remove(&self.pool);
        }
    }
}
