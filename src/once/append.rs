//! The tasks that append records: one for the claims of each partition, one for results.
//!
//! A caller waits for its claim and for no result. Results therefore go along with claims,
//! or alone, one append at a time, so that they do not fill the log.

use std::sync::Arc;

use super::{
    partition::{stream, PARTITIONS},
    state::QueuedRecord,
};
use crate::{Category, Error, Router};

/// Most records in one append.
const MAX_BATCH: usize = 256;

/// Appends the claims of one partition in batches, with the results that wait there, until
/// the router ends.
pub async fn append_claims(cx: Arc<Router>, partition: usize) {
    let Some(mut rx) = cx.claims.take_claims(partition) else {
        return;
    };
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        batch.extend(cx.claims.take_results(partition, MAX_BATCH));
        append_batch(&cx, partition, std::mem::take(&mut batch)).await;
    }
}

/// Appends the results that wait, one partition after the other, until the task is dropped.
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
        let batch = cx.claims.take_results(partition, MAX_BATCH);
        if batch.is_empty() {
            return;
        }
        append_batch(cx, partition, batch).await;
    }
}

async fn append_batch(cx: &Router, partition: usize, batch: Vec<QueuedRecord>) {
    let (records, waiters): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .map(|append| (append.record, append.tx))
        .unzip();
    let appended = cx.infra.log.append(&stream(partition), &records).await;
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
