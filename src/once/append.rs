//! The tasks that append records, one for each partition.

use std::sync::Arc;

use super::{partition::stream, state::Append};
use crate::{Category, Error, Router};

/// Most records in one append.
const MAX_BATCH: usize = 256;

/// Appends the queued records of one partition in batches until the router ends.
pub async fn append_batches(cx: Arc<Router>, partition: usize) {
    let Some(mut rx) = cx.once.take_queue(partition) else {
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
