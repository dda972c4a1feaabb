//! Tasks that follow the configuration stream and write checkpoints to it.

use std::{sync::Arc, time::Duration};

use super::{
    checkpoint_due, decode, newest_valid_checkpoint, pull, Checkpoint, EncodedRecord, Record,
    CONFIG_STREAM,
};
use crate::{
    peer::{Authenticator, Purpose},
    placement, Category, Error, Offset, Result, Router,
};

/// Longest time that the log service waits for new records before it answers.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time between two checks whether a checkpoint is due.
const CHECKPOINT_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Rendezvous hashing key that selects the router that writes checkpoints.
const CHECKPOINT_WRITER_KEY: &str = "config-checkpoint";

/// Offset after every record; a read there returns only the bounds of the stream.
const PAST_END: Offset = Offset(i64::MAX as u64);

/// Reads and applies the configuration stream until the task is dropped.
///
/// A router that has not caught up yet and cannot read the log asks its peers instead.
pub async fn follow_log(cx: Arc<Router>) {
    loop {
        if let Err(err) = read_or_skip_expired(&cx).await {
            log::warn!("config stream read failed; retrying error=\"{err}\"");
            if !cx.config.is_synced() {
                pull::bootstrap_from_peers(&cx).await;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads and applies one page, or skips the records that the log has dropped.
///
/// The client of the log reports dropped records as [`Category::KeyExpired`].
async fn read_or_skip_expired(cx: &Router) -> Result<()> {
    match read_page(cx).await {
        Err(err) if err.classify() == Category::KeyExpired => adopt_newest_checkpoint(cx).await,
        other => other,
    }
}

async fn read_page(cx: &Router) -> Result<()> {
    let from = cx.config.current().applied;
    let wait = if cx.config.is_synced() {
        POLL_WAIT
    } else {
        Duration::ZERO
    };
    let page = cx.infra.log.read(CONFIG_STREAM, from, wait).await?;
    cx.membership.record_log_answer(cx.clock.now());
    cx.config.set_oldest_log_offset(page.first);
    let records: Vec<_> = page.records.iter().map(EncodedRecord::new).collect();
    let state = cx.config.apply(&records);
    // A log whose head is below the applied offset has lost records, so there are none to wait for.
    if state.applied >= page.head {
        mark_synced(cx);
    }
    Ok(())
}

/// Marks this router as caught up with the configuration.
pub(super) fn mark_synced(cx: &Router) {
    cx.config.set_synced();
    cx.membership.config_caught_up();
}

/// Skips the records that the log has dropped, by adopting the newest valid checkpoint.
async fn adopt_newest_checkpoint(cx: &Router) -> Result<()> {
    let authenticator = Authenticator::new(&cx.settings.peer_keys, Purpose::Checkpoint);
    let bounds = cx
        .infra
        .log
        .read(CONFIG_STREAM, PAST_END, Duration::ZERO)
        .await?;
    let mut from = bounds.first;
    let mut newest = None;
    while from < bounds.head {
        let page = cx
            .infra
            .log
            .read(CONFIG_STREAM, from, Duration::ZERO)
            .await?;
        let decoded = page.records.iter().map(EncodedRecord::new);
        let records: Vec<(Offset, Record)> = decoded.map(|r| (r.offset, decode(&r))).collect();
        newest = newest_valid_checkpoint(&records, &authenticator)
            .cloned()
            .or(newest);
        match records.last() {
            Some((last, _)) => from = last.next(),
            None => break,
        }
    }
    if newest.is_some_and(|state| cx.config.adopt(state)) {
        return Ok(());
    }
    let message =
        "the log has dropped records that this router needs and keeps no usable checkpoint";
    Err(Error::not_run(Category::LogUnavailable, message))
}

/// Writes a checkpoint whenever one is due and rendezvous hashing selects this router.
pub async fn write_checkpoints(cx: Arc<Router>) {
    let authenticator = Authenticator::new(&cx.settings.peer_keys, Purpose::Checkpoint);
    loop {
        tokio::time::sleep(CHECKPOINT_CHECK_PERIOD).await;
        if !cx.membership.is_serving() || !is_checkpoint_writer(&cx) {
            continue;
        }
        if let Err(err) = write_if_due(&cx, &authenticator).await {
            log::warn!("writing a config checkpoint failed error=\"{err}\"");
        }
    }
}

fn is_checkpoint_writer(cx: &Router) -> bool {
    let view = cx.membership.view();
    placement::rendezvous_first(CHECKPOINT_WRITER_KEY, view.active_routers())
        == Some(&cx.settings.name)
}

async fn write_if_due(cx: &Router, authenticator: &Authenticator) -> Result<()> {
    let (state, now) = (cx.config.current(), cx.clock.wall());
    if !checkpoint_due(&state, cx.config.oldest_log_offset(), now) {
        return Ok(());
    }
    let record = Record::Checkpoint(Checkpoint::new(&state, now, authenticator));
    let record = serde_json::to_value(&record)
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
    cx.infra
        .log
        .append(CONFIG_STREAM, &[record])
        .await
        .map(drop)
}
