//! The tasks that follow partitions, and the one that says which of them this router owns.

use std::{sync::Arc, time::Duration};

use super::{partition::stream, PARTITIONS};
use crate::{infra::Page, Category, Offset, Result, Router};

/// Longest time the log may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time between two looks at which partitions are owned.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Keeps the partitions that this router owns followed until the task is dropped.
pub async fn follow_owned_partitions(cx: Arc<Router>) {
    let mut period = tokio::time::interval(WATCH_PERIOD);
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

/// Follows one partition whenever it is wanted, until the task is dropped.
pub async fn follow_partition(cx: Arc<Router>, partition: usize) {
    let mut wanted = cx.claims.follow_until(partition);
    loop {
        // The sender lives as long as the router, so waiting cannot fail.
        let _ = wanted.wait_for(|until| cx.clock.now() < *until).await;
        while cx.clock.now() < *wanted.borrow() {
            if let Err(err) = read_page(&cx, partition).await {
                log::warn!("claims unreadable partition={partition} error=\"{err}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        cx.claims.ledger().reset_partition(partition);
        cx.claims.notify(partition);
    }
}

async fn read_page(cx: &Router, partition: usize) -> Result<()> {
    let (from, read) = {
        let ledger = cx.claims.ledger();
        (ledger.applied(partition), ledger.is_caught_up(partition))
    };
    let wait = if read { POLL_WAIT } else { Duration::ZERO };
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

/// Jumps over records that the log no longer keeps.
async fn skip_to_first(cx: &Router, partition: usize) -> Result<()> {
    let head = Offset(u64::MAX);
    let page = cx
        .infra
        .log
        .read(&stream(partition), head, Duration::ZERO)
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
