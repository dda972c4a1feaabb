//! Tasks that follow partitions, and the task that keeps the owned partitions followed.

use std::{sync::Arc, time::Duration};

use super::{partition::stream, PARTITIONS};
use crate::{infra::Page, Category, Offset, Result, Router};

/// Longest time that the log waits for a new record before it returns an empty page.
const MAX_POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read of a stream.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Period at which the router checks which partitions it owns.
const OWNERSHIP_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Keeps the partitions that this router owns followed until the task is dropped.
pub async fn follow_owned_partitions(cx: Arc<Router>) {
    let mut period = tokio::time::interval(OWNERSHIP_CHECK_PERIOD);
    loop {
        period.tick().await;
        if !cx.membership.view().has_instance_list() {
            continue;
        }
        for partition in 0..PARTITIONS {
            if cx.partition_owner(partition, &[]).is_none() {
                cx.claims.keep_following(partition, cx.clock.now());
            }
        }
    }
}

/// Follows `partition` while it is needed, and resets it after that, until the task is dropped.
pub async fn follow_partition(cx: Arc<Router>, partition: usize) {
    let mut follow_until = cx.claims.follow_until(partition);
    loop {
        // The sender exists as long as the router, so waiting cannot fail.
        let _ = follow_until.wait_for(|until| cx.clock.now() < *until).await;
        while cx.clock.now() < *follow_until.borrow() {
            if let Err(err) = read_page(&cx, partition).await {
                log::warn!("cannot read claims from the log partition={partition} error=\"{err}\"");
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
        cx.claims.ledger().reset_partition(partition);
        cx.claims.notify(partition);
    }
}

/// Reads and applies one page; skips the records that the log no longer keeps.
async fn read_page(cx: &Router, partition: usize) -> Result<()> {
    let (from, is_caught_up) = {
        let ledger = cx.claims.ledger();
        (ledger.applied(partition), ledger.is_caught_up(partition))
    };
    let wait = if is_caught_up {
        MAX_POLL_WAIT
    } else {
        Duration::ZERO
    };
    let stream = stream(partition);
    let page = match cx.infra.log.read(&stream, from, wait).await {
        Err(err) if err.classify() == Category::KeyExpired => {
            return skip_to_first(cx, partition).await;
        }
        page => page?,
    };
    apply(cx, partition, page);
    Ok(())
}

/// Moves on to the first record of the log, past records that it has truncated.
async fn skip_to_first(cx: &Router, partition: usize) -> Result<()> {
    let past_end = Offset(u64::MAX);
    let page = cx
        .infra
        .log
        .read(&stream(partition), past_end, Duration::ZERO)
        .await?;
    let now = cx.clock.wall();
    cx.claims
        .ledger()
        .skip_truncated(partition, page.first, now);
    Ok(())
}

fn apply(cx: &Router, partition: usize, page: Page) {
    let mut ledger = cx.claims.ledger();
    for entry in page.records {
        let record = serde_json::from_value(entry.data).ok();
        ledger.apply(partition, entry.offset, record);
    }
    ledger.evict(cx.clock.wall());
    ledger.record_head(partition, page.head);
    drop(ledger);
    cx.claims.notify(partition);
}
