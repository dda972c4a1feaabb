//! The task that follows the configuration stream, and the one that writes checkpoints.

use std::{sync::Arc, time::Duration};

use super::{
    checkpoint_due, decode, newest_valid_checkpoint, pull, Checkpoint, EncodedRecord, Record,
    CONFIG_STREAM,
};
use crate::{
    peer::{Authenticator, Purpose},
    placement, Category, Error, Offset, Result, Router,
};

/// Longest time the log may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks whether a checkpoint is due.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(2);

/// Key by which the router that writes checkpoints is chosen.
const CHECKPOINT_DUTY: &str = "config-checkpoint";

/// An offset behind every record, whose page shows the bounds of a stream.
const BEHIND_ALL: Offset = Offset(i64::MAX as u64);

/// Follows the stream until the task is dropped.
pub async fn follow_log(cx: Arc<Router>) {
    loop {
        if let Err(err) = advance(&cx).await {
            log::warn!("config read failed error=\"{err}\"");
            if !cx.config.is_synced() {
                pull::bootstrap_from_peers(&cx).await;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn advance(cx: &Router) -> Result<()> {
    match read_once(cx).await {
        Err(err) if err.classify() == Category::KeyExpired => skip_expired(cx).await,
        other => other,
    }
}

async fn read_once(cx: &Router) -> Result<()> {
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
    // A log that has fewer records than are known here has lost some; it leads nowhere.
    if state.applied >= page.head {
        mark_synced(cx);
    }
    Ok(())
}

/// Marks the configuration as known.
pub(super) fn mark_synced(cx: &Router) {
    cx.config.set_synced();
    cx.membership.config_caught_up();
}

/// Goes on behind records that the log no longer keeps, from a checkpoint or a peer.
async fn skip_expired(cx: &Router) -> Result<()> {
    let sealer = Authenticator::new(&cx.settings.peer_keys, Purpose::Checkpoint);
    let bounds = cx
        .infra
        .log
        .read(CONFIG_STREAM, BEHIND_ALL, Duration::ZERO)
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
        newest = newest_valid_checkpoint(&records, &sealer)
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
    let message = "the log has dropped records and keeps no checkpoint";
    Err(Error::not_run(Category::LogUnavailable, message))
}

/// Writes a checkpoint whenever one is due and this router ranks first for it.
pub async fn write_checkpoints(cx: Arc<Router>) {
    let sealer = Authenticator::new(&cx.settings.peer_keys, Purpose::Checkpoint);
    loop {
        tokio::time::sleep(CHECKPOINT_PERIOD).await;
        if !cx.membership.is_serving() || !has_checkpoint_duty(&cx) {
            continue;
        }
        if let Err(err) = write_if_due(&cx, &sealer).await {
            log::warn!("checkpoint not written error=\"{err}\"");
        }
    }
}

fn has_checkpoint_duty(cx: &Router) -> bool {
    let view = cx.membership.view();
    placement::rendezvous_first(CHECKPOINT_DUTY, view.active_routers()) == Some(&cx.settings.name)
}

async fn write_if_due(cx: &Router, sealer: &Authenticator) -> Result<()> {
    let (state, now) = (cx.config.current(), cx.clock.wall());
    if !checkpoint_due(&state, cx.config.oldest_log_offset(), now) {
        return Ok(());
    }
    let record = Record::Checkpoint(Checkpoint::new(&state, now, sealer));
    let record = serde_json::to_value(&record)
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
    cx.infra
        .log
        .append(CONFIG_STREAM, &[record])
        .await
        .map(drop)
}
