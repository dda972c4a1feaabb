//! The tasks of the claims streams, and the claim of a call as its connection's task sees it.

use std::{sync::Arc, sync::Mutex, time::Duration};

use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};
use uuid::Uuid;

use super::{
    Claim, ClaimRecord, Key, Ledger, Outcome, Record, ResultRecord, Settled, Standing, PARTITIONS,
};
use crate::{
    platform::Entry, sync::lock, Category, Error, Offset, Result, Router, UnixMillis, Verdict,
};

/// Longest time the log may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest time to wait for a claim to be appended and read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time a later attempt waits for the result of the first one.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Most records in one append.
const MAX_BATCH: usize = 256;

/// Most records that wait for an append, for each stream.
const QUEUE_LEN: usize = 4_096;

/// Most attempts to append a result.
const RESULT_ATTEMPTS: u32 = 20;

type Appended = Result<Offset>;

struct Append {
    record: Value,
    tx: oneshot::Sender<Appended>,
}

struct Partition {
    tx: mpsc::Sender<Append>,
    rx: Mutex<Option<mpsc::Receiver<Append>>>,
    applied: watch::Sender<Offset>,
}

impl Partition {
    fn new() -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        Partition {
            tx,
            rx: Mutex::new(Some(rx)),
            applied: watch::Sender::new(Offset(0)),
        }
    }
}

/// What the ledger knows of a key before it is claimed here.
enum Known {
    Free,
    Forgotten,
    Taken,
}

/// The ledger and the queues of this router.
pub struct Once {
    ledger: Mutex<Ledger>,
    open_calls: watch::Sender<u32>,
    partitions: [Partition; PARTITIONS],
}

impl Once {
    /// Creates an empty ledger with idle queues.
    pub fn new() -> Self {
        Once {
            ledger: Mutex::new(Ledger::new()),
            open_calls: watch::Sender::new(0),
            partitions: std::array::from_fn(|_| Partition::new()),
        }
    }

    fn standing_name(&self, key: &Key, issued: UnixMillis) -> Known {
        match lock(&self.ledger).standing(key, issued) {
            Standing::Free => Known::Free,
            Standing::Forgotten => Known::Forgotten,
            Standing::Claimed(_) | Standing::Done(_) => Known::Taken,
        }
    }

    fn outcome(&self, key: &Key, issued: UnixMillis) -> Option<Outcome> {
        match lock(&self.ledger).standing(key, issued) {
            Standing::Done(outcome) => Some(outcome.clone()),
            _ => None,
        }
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
        lock(&self.ledger).len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    async fn append(&self, partition: usize, record: &Record) -> Appended {
        let (tx, rx) = oneshot::channel();
        let record = serde_json::to_value(record)
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
        let full = |_| Error::not_run(Category::Overloaded, "too many claims wait for the log");
        self.partitions[partition]
            .tx
            .try_send(Append { record, tx })
            .map_err(full)?;
        let gone = |_| Error::may_have_run(Category::LogUnavailable, "append abandoned");
        rx.await.map_err(gone)?
    }

    /// Waits until the ledger holds all records up to `offset`.
    async fn applied(&self, partition: usize, offset: Offset) {
        let mut applied = self.partitions[partition].applied.subscribe();
        // The sender lives as long as self, so waiting cannot fail.
        let _ = applied.wait_for(|applied| *applied > offset).await;
    }
}

impl Default for Once {
    fn default() -> Self {
        Once::new()
    }
}

/// A call that is under way; its result is not recorded yet.
pub struct OpenCall {
    once: Arc<Once>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.once.open_calls.send_modify(|count| *count -= 1);
    }
}

fn stream(partition: usize) -> String {
    format!("claims-{partition}")
}

/// Appends the queued records of one partition in batches until the router ends.
pub async fn append_batches(cx: Arc<Router>, partition: usize) {
    let Some(mut rx) = lock(&cx.once.partitions[partition].rx).take() else {
        return;
    };
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        append_batch(&cx, partition, std::mem::take(&mut batch)).await;
    }
}

async fn append_batch(cx: &Router, partition: usize, batch: Vec<Append>) {
    let (records, waiters): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .map(|append| (append.record, append.tx))
        .unzip();
    let appended = cx.platform.log.append(&stream(partition), &records).await;
    for (index, tx) in waiters.into_iter().enumerate() {
        let answer = match &appended {
            Ok(offsets) => offsets.get(index).copied().ok_or_else(short_answer),
            Err(err) => Err(Error::new(
                Category::LogUnavailable,
                err.verdict(),
                err.message(),
            )),
        };
        // The caller may be gone; the record is in the log all the same.
        let _ = tx.send(answer);
    }
}

fn short_answer() -> Error {
    Error::may_have_run(Category::Protocol, "the log answered too few offsets")
}

/// Follows one partition until the task is dropped.
pub async fn tail(cx: Arc<Router>, partition: usize) {
    loop {
        if let Err(err) = read_page(&cx, partition).await {
            log::warn!("claims unreadable partition={partition} error=\"{err}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read_page(cx: &Router, partition: usize) -> Result<()> {
    let from = lock(&cx.once.ledger).applied(partition);
    let stream = stream(partition);
    let page = match cx.platform.log.read(&stream, from, POLL_WAIT).await {
        Err(err) if err.classify() == Category::KeyExpired => {
            return skip_to_first(cx, partition).await;
        }
        page => page?,
    };
    apply(cx, partition, page.records);
    Ok(())
}

/// Jumps over records that the log no longer keeps.
async fn skip_to_first(cx: &Router, partition: usize) -> Result<()> {
    let head = Offset(u64::MAX);
    let page = cx
        .platform
        .log
        .read(&stream(partition), head, Duration::ZERO)
        .await?;
    let now = cx.clock.wall();
    lock(&cx.once.ledger).skip_to(partition, page.first, now);
    Ok(())
}

fn apply(cx: &Router, partition: usize, records: Vec<Entry>) {
    let mut ledger = lock(&cx.once.ledger);
    for entry in records {
        let record = serde_json::from_value(entry.data).ok();
        ledger.apply(partition, entry.offset, record);
    }
    ledger.evict(cx.clock.wall());
    let applied = ledger.applied(partition);
    cx.once.partitions[partition].applied.send_replace(applied);
}

/// Claims `key` for this router, or says why the call must not be dispatched here.
///
/// # Errors
///
/// Fails with the verdict "not run" when nothing was appended.
pub async fn claim(cx: &Router, key: &Key, issued: UnixMillis) -> Result<Settled> {
    let claim = Claim::new(claim_record(cx, key, issued));
    match cx.once.standing_name(key, issued) {
        Known::Free => {}
        Known::Forgotten => return Err(forgotten()),
        Known::Taken => return Ok(claim.settle(&lock(&cx.once.ledger))),
    }
    let attempt = append_and_read_back(cx, key.partition(), claim.record());
    match tokio::time::timeout(CLAIM_TIMEOUT, attempt).await {
        Ok(Err(err)) if err.verdict() == Verdict::NotRun => return Err(err),
        // A lost answer or a slow log: the log itself decides below.
        Ok(_) | Err(_) => {}
    }
    Ok(claim.settle(&lock(&cx.once.ledger)))
}

fn claim_record(cx: &Router, key: &Key, issued: UnixMillis) -> ClaimRecord {
    let read = lock(&cx.once.ledger).applied(key.partition());
    ClaimRecord {
        key: key.clone(),
        issued,
        router: cx.settings.name.clone(),
        incarnation: cx.incarnation,
        nonce: Uuid::new_v4().as_u64_pair().1,
        made: cx.clock.wall(),
        read,
    }
}

fn forgotten() -> Error {
    let message = "an earlier attempt may be older than the records held";
    Error::may_have_run(Category::KeyExpired, message)
}

async fn append_and_read_back(cx: &Router, partition: usize, claim: &ClaimRecord) -> Result<()> {
    let record = Record::Claim(claim.clone());
    let offset = cx.once.append(partition, &record).await?;
    cx.once.applied(partition, offset).await;
    Ok(())
}

/// Waits for what comes of a call that another claim owns.
pub async fn await_outcome(cx: &Router, key: &Key, issued: UnixMillis) -> Option<Outcome> {
    let mut applied = cx.once.partitions[key.partition()].applied.subscribe();
    let done = |_: &Offset| cx.once.outcome(key, issued).is_some();
    let waited = tokio::time::timeout(RESULT_TIMEOUT, applied.wait_for(done)).await;
    drop(waited);
    cx.once.outcome(key, issued)
}

/// Records the result of a call until the log has taken it.
///
/// Repeated records of one result are harmless: the first one counts.
pub async fn record_result(cx: &Router, result: ResultRecord) {
    let partition = result.claim.key.partition();
    let record = Record::Result(result);
    for _ in 0..RESULT_ATTEMPTS {
        match cx.once.append(partition, &record).await {
            Ok(_) => return,
            Err(err) => log::warn!("result not recorded error=\"{err}\""),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
