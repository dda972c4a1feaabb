//! The task that follows the configuration stream.

use std::{sync::Arc, time::Duration};

use super::{Record, STREAM};
use crate::{platform::Entry, Offset, Result, Router};

/// Longest time the log may hold back an empty answer.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Follows the stream until the task is dropped.
pub async fn follow(cx: Arc<Router>) {
    loop {
        if let Err(err) = read_once(&cx).await {
            log::warn!("config read failed error=\"{err}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read_once(cx: &Router) -> Result<()> {
    let from = cx.config.current().applied;
    let wait = if cx.membership.is_caught_up() {
        POLL_WAIT
    } else {
        Duration::ZERO
    };
    let page = cx.platform.log.read(STREAM, from, wait).await?;
    cx.membership.heard_log(cx.clock.now());
    let records: Vec<_> = page.records.iter().map(decode).collect();
    let state = cx.config.apply(&records);
    if state.applied >= page.head {
        cx.membership.config_caught_up();
    }
    Ok(())
}

fn decode(entry: &Entry) -> (Offset, Record) {
    let record = serde_json::from_value(entry.data.clone()).unwrap_or_else(|err| {
        let offset = entry.offset;
        log::error!("config record unreadable offset={offset} error=\"{err}\"");
        Record::Unreadable
    });
    (entry.offset, record)
}
