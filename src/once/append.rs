//! Tasks that append records: one for the claims of each partition, and one for all results.
//!
//! A caller waits for its claim to be appended, but not for its result. Results are therefore
//! appended along with claims, or alone in one append at a time, so that they do not
//! overload the log.

use std::sync::Arc;

use super::{
    partition::{stream, PARTITIONS},
    state::QueuedRecord,
};
use crate::{Category, Error, Router};

/// Maximum number of claims, and of results, in one append.
const MAX_BATCH_RECORDS: usize = 256;

/// Appends the claims of one partition in batches, along with its queued results, until the
/// router ends.
pub async fn append_claims(cx: Arc<Router>, partition: usize) {
    let Some(mut rx) = cx.claims.take_claims(partition) else {
        return;
    };
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH_RECORDS).await > 0 {
        batch.extend(cx.claims.take_results(partition, MAX_BATCH_RECORDS));
        append_batch(&cx, partition, std::mem::take(&mut batch)).await;
    }
}

/// Appends the queued results, one partition after the other, until the task is dropped.
pub async fn append_results(cx: Arc<Router>) {
    loop {
        cx.claims.results_queued().await;
        for partition in 0..PARTITIONS {
            append_queued(&cx, partition).await;
        }
    }
}

async fn append_queued(cx: &Router, partition: usize) {
    loop {
        let batch = cx.claims.take_results(partition, MAX_BATCH_RECORDS);
        if batch.is_empty() {
            return;
        }
        append_batch(cx, partition, batch).await;
    }
}

async fn append_batch(cx: &Router, partition: usize, batch: Vec<QueuedRecord>) {
    let (records, waiters): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .map(|queued| (queued.record, queued.tx))
        .unzip();
    let appended = cx.infra.log.append(&stream(partition), &records).await;
    for (index, tx) in waiters.into_iter().enumerate() {
        let answer = match &appended {
            Ok(offsets) => offsets.get(index).copied().ok_or_else(missing_offset),
            Err(err) => Err(Error::new(
                Category::LogUnavailable,
                err.verdict(),
                err.message(),
            )),
        };
        // Sending fails if the caller no longer waits, which does not affect the record.
        let _ = tx.send(answer);
    }
}

fn missing_offset() -> Error {
    Error::may_have_run(
        Category::Protocol,
        "the log returned fewer offsets than records",
    )
}
