//! The ledger of a router, and the state of its tasks for each partition.

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

/// Most records that wait for an append, for each partition.
const QUEUE_LEN: usize = 4_096;

/// How long a partition is followed after it was last wanted.
pub const FOLLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A record on its way into the log.
pub(super) struct QueuedRecord {
    pub(super) record: Value,
    pub(super) tx: oneshot::Sender<Result<Offset>>,
}

pub(super) struct Partition {
    claims: mpsc::Sender<QueuedRecord>,
    claims_rx: Mutex<Option<mpsc::Receiver<QueuedRecord>>>,
    results: Mutex<Vec<QueuedRecord>>,
    /// Changes after each page that is applied.
    applied: watch::Sender<Offset>,
    follow_until: watch::Sender<Instant>,
}

impl Partition {
    fn new() -> Self {
        let (claims, rx) = mpsc::channel(QUEUE_LEN);
        Partition {
            claims,
            claims_rx: Mutex::new(Some(rx)),
            results: Mutex::default(),
            applied: watch::Sender::new(Offset(0)),
            follow_until: watch::Sender::new(Instant::default()),
        }
    }
}

/// The ledger and the queues of this router.
pub struct ClaimStore {
    ledger: Mutex<ClaimLedger>,
    open_calls: watch::Sender<u32>,
    partitions: Box<[Partition]>,
    results_queued: Notify,
}

impl ClaimStore {
    /// Creates an empty ledger with idle queues.
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
        OpenCall { once: self.clone() }
    }

    /// Waits until no call is open.
    pub async fn idle(&self) {
        let mut open = self.open_calls.subscribe();
        // The sender lives as long as self, so waiting cannot fail.
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

    /// Follows `partition` for [`FOLLOW_IDLE_TIMEOUT`] from `now` on.
    pub(super) fn keep_following(&self, partition: usize, now: Instant) {
        self.partitions[partition]
            .follow_until
            .send_replace(now + FOLLOW_IDLE_TIMEOUT);
    }

    pub(super) fn follow_until(&self, partition: usize) -> watch::Receiver<Instant> {
        self.partitions[partition].follow_until.subscribe()
    }

    pub(super) fn take_claims(&self, partition: usize) -> Option<mpsc::Receiver<QueuedRecord>> {
        lock(&self.partitions[partition].claims_rx).take()
    }

    /// Takes at most `max` results that wait for an append.
    pub(super) fn take_results(&self, partition: usize, max: usize) -> Vec<QueuedRecord> {
        let mut results = lock(&self.partitions[partition].results);
        let count = max.min(results.len());
        results.drain(..count).collect()
    }

    /// Waits until a result has been queued since the last wait.
    pub(super) async fn results_queued(&self) {
        self.results_queued.notified().await;
    }

    /// Wakes those who wait for `partition`; the ledger must not be locked meanwhile.
    pub(super) fn notify(&self, partition: usize) {
        let applied = self.ledger().applied(partition);
        self.partitions[partition].applied.send_replace(applied);
    }

    /// Appends `record`, also when the caller does not wait for the end.
    pub(super) async fn append(&self, partition: usize, record: &StreamRecord) -> Result<Offset> {
        let (tx, rx) = oneshot::channel();
        let value = serde_json::to_value(record)
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
        let append = QueuedRecord { record: value, tx };
        let queued = match record {
            StreamRecord::Claim(_) => self.partitions[partition].claims.try_send(append).is_ok(),
            StreamRecord::Result(_) => self.queue_result(partition, append),
        };
        if !queued {
            let message = "too many claims wait for the log";
            return Err(Error::not_run(Category::Overloaded, message));
        }
        let gone = |_| Error::may_have_run(Category::LogUnavailable, "append abandoned");
        rx.await.map_err(gone)?
    }

    fn queue_result(&self, partition: usize, append: QueuedRecord) -> bool {
        let mut results = lock(&self.partitions[partition].results);
        if results.len() >= QUEUE_LEN {
            return false;
        }
        results.push(append);
        self.results_queued.notify_one();
        true
    }

    /// Waits until `partition` has been read to the end of the log.
    pub(super) async fn wait_caught_up(&self, partition: usize) {
        let read = |ledger: &ClaimLedger| ledger.is_caught_up(partition).then_some(());
        self.wait_for(partition, read).await;
    }

    /// Waits until the log shows the first claim of the key of `claim`.
    pub(super) async fn wait_claim_position(&self, claim: &ClaimId) -> ClaimPosition {
        let partition = claim.key.partition();
        self.wait_for(partition, |ledger| ledger.claim_position(claim))
            .await
    }

    /// Waits until a result of the key is known.
    pub(super) async fn wait_outcome(&self, key: &IdempotencyKey, issued: UnixMillis) -> Outcome {
        let done = |ledger: &ClaimLedger| match ledger.key_state(key, issued) {
            KeyState::Done(outcome) => Some(outcome.clone()),
            _ => None,
        };
        self.wait_for(key.partition(), done).await
    }

    async fn wait_for<T>(&self, partition: usize, look: impl Fn(&ClaimLedger) -> Option<T>) -> T {
        let mut applied = self.partitions[partition].applied.subscribe();
        loop {
            applied.borrow_and_update();
            if let Some(found) = look(&self.ledger()) {
                return found;
            }
            // The sender lives as long as self, so waiting cannot fail.
            let _ = applied.changed().await;
        }
    }
}

impl Default for ClaimStore {
    fn default() -> Self {
        ClaimStore::new()
    }
}

/// A call that is under way; its result is not recorded yet.
pub struct OpenCall {
    once: Arc<ClaimStore>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.once.open_calls.send_modify(|count| *count -= 1);
    }
}
