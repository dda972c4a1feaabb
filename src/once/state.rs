//! Claim ledger of a router, with the queues and signals of each partition.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch, Notify};

use super::{
    ClaimId, ClaimLedger, ClaimPosition, IdempotencyKey, KeyState, Outcome, StreamRecord,
    PARTITIONS,
};
use crate::{sync::lock, Category, Error, Instant, Offset, Result, UnixMillis};

/// Maximum number of claims, and of results, that wait for an append in each partition.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Time for which a partition is still followed after it was last needed.
pub const FOLLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A record that waits for an append, with the channel that returns its offset.
pub(super) struct QueuedRecord {
    pub(super) record: Value,
    pub(super) tx: oneshot::Sender<Result<Offset>>,
}

/// Queues and signals of one partition.
pub(super) struct Partition {
    claims: mpsc::Sender<QueuedRecord>,
    claims_rx: Mutex<Option<mpsc::Receiver<QueuedRecord>>>,
    results: Mutex<Vec<QueuedRecord>>,
    /// Offset of the next record to apply, updated after each page.
    applied: watch::Sender<Offset>,
    /// Time until which the partition is followed.
    follow_until: watch::Sender<Instant>,
}

impl Partition {
    fn new() -> Self {
        let (claims, rx) = mpsc::channel(MAX_QUEUED_RECORDS);
        Partition {
            claims,
            claims_rx: Mutex::new(Some(rx)),
            results: Mutex::default(),
            applied: watch::Sender::new(Offset(0)),
            follow_until: watch::Sender::new(Instant::default()),
        }
    }
}

/// Claim ledger of this router and the records that wait for an append.
pub struct ClaimStore {
    ledger: Mutex<ClaimLedger>,
    open_calls: watch::Sender<u32>,
    partitions: Box<[Partition]>,
    results_queued: Notify,
}

impl ClaimStore {
    /// Creates a store with an empty ledger and empty queues.
    pub fn new() -> Self {
        ClaimStore {
            ledger: Mutex::new(ClaimLedger::new()),
            open_calls: watch::Sender::new(0),
            partitions: (0..PARTITIONS).map(|_| Partition::new()).collect(),
            results_queued: Notify::new(),
        }
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, ClaimLedger> {
        lock(&self.ledger)
    }

    /// Counts a call as open until the guard is dropped.
    pub fn open_call(self: &Arc<Self>) -> OpenCall {
        self.open_calls.send_modify(|count| *count += 1);
        OpenCall {
            store: self.clone(),
        }
    }

    /// Waits until no call is open.
    pub async fn wait_idle(&self) {
        let mut open = self.open_calls.subscribe();
        // The sender exists as long as self, so waiting cannot fail.
        let _ = open.wait_for(|open| *open == 0).await;
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.ledger().len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Keeps `partition` followed until [`FOLLOW_IDLE_TIMEOUT`] after `now`.
    pub(super) fn keep_following(&self, partition: usize, now: Instant) {
        self.partitions[partition]
            .follow_until
            .send_replace(now + FOLLOW_IDLE_TIMEOUT);
    }

    /// Returns a receiver of the time until which `partition` is followed.
    pub(super) fn follow_until(&self, partition: usize) -> watch::Receiver<Instant> {
        self.partitions[partition].follow_until.subscribe()
    }

    /// Takes the queue of claims of `partition`; `None` if it has already been taken.
    pub(super) fn take_claims(&self, partition: usize) -> Option<mpsc::Receiver<QueuedRecord>> {
        lock(&self.partitions[partition].claims_rx).take()
    }

    /// Takes up to `max` results that wait for an append.
    pub(super) fn take_results(&self, partition: usize, max: usize) -> Vec<QueuedRecord> {
        let mut results = lock(&self.partitions[partition].results);
        let count = max.min(results.len());
        results.drain(..count).collect()
    }

    /// Waits until a result is queued, or returns at once if one was queued since the last wait.
    pub(super) async fn results_queued(&self) {
        self.results_queued.notified().await;
    }

    /// Wakes the tasks that wait for `partition`; the caller must not hold the ledger lock.
    pub(super) fn notify(&self, partition: usize) {
        let applied = self.ledger().applied(partition);
        self.partitions[partition].applied.send_replace(applied);
    }

    /// Appends `record` and returns its offset.
    ///
    /// The record is appended even if the caller stops waiting.
    pub(super) async fn append(&self, partition: usize, record: &StreamRecord) -> Result<Offset> {
        let (tx, rx) = oneshot::channel();
        let value = serde_json::to_value(record)
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
        let queued_record = QueuedRecord { record: value, tx };
        let queued = match record {
            StreamRecord::Claim(_) => self.partitions[partition]
                .claims
                .try_send(queued_record)
                .is_ok(),
            StreamRecord::Result(_) => self.queue_result(partition, queued_record),
        };
        if !queued {
            let message = "too many records wait for an append to the log";
            return Err(Error::not_run(Category::Overloaded, message));
        }
        let task_ended = |_| {
            Error::may_have_run(
                Category::LogUnavailable,
                "the append task ended before it confirmed the record",
            )
        };
        rx.await.map_err(task_ended)?
    }

    fn queue_result(&self, partition: usize, result: QueuedRecord) -> bool {
        let mut results = lock(&self.partitions[partition].results);
        if results.len() >= MAX_QUEUED_RECORDS {
            return false;
        }
        results.push(result);
        self.results_queued.notify_one();
        true
    }

    /// Waits until `partition` has been applied to the end of its stream.
    pub(super) async fn wait_caught_up(&self, partition: usize) {
        let caught_up = |ledger: &ClaimLedger| ledger.is_caught_up(partition).then_some(());
        self.wait_for(partition, caught_up).await;
    }

    /// Waits until the ledger has the first claim of the key and returns the position of `claim`.
    pub(super) async fn wait_claim_position(&self, claim: &ClaimId) -> ClaimPosition {
        let partition = claim.key.partition();
        self.wait_for(partition, |ledger| ledger.claim_position(claim))
            .await
    }

    /// Waits until the ledger has the outcome of `key` and returns it.
    pub(super) async fn wait_outcome(&self, key: &IdempotencyKey, issued: UnixMillis) -> Outcome {
        let done = |ledger: &ClaimLedger| match ledger.key_state(key, issued) {
            KeyState::Done(outcome) => Some(outcome.clone()),
            _ => None,
        };
        self.wait_for(key.partition(), done).await
    }

    async fn wait_for<T>(&self, partition: usize, find: impl Fn(&ClaimLedger) -> Option<T>) -> T {
        let mut applied = self.partitions[partition].applied.subscribe();
        loop {
            applied.borrow_and_update();
            if let Some(found) = find(&self.ledger()) {
                return found;
            }
            // The sender exists as long as self, so waiting cannot fail.
            let _ = applied.changed().await;
        }
    }
}

impl Default for ClaimStore {
    fn default() -> Self {
        ClaimStore::new()
    }
}

/// Guard of a call whose result is not recorded yet.
pub struct OpenCall {
    store: Arc<ClaimStore>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.store.open_calls.send_modify(|count| *count -= 1);
    }
}
