//! Waits until a change is in force on every live router.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::{AdminClient, CommandResult, Failure};
use crate::Offset;

/// Time between two looks.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Waits until every live router has applied the record at `offset`; shows progress on
/// the standard error.
pub(super) async fn until_applied(
    client: &AdminClient,
    offset: Offset,
    timeout: Duration,
) -> CommandResult {
    let started = Instant::now();
    let mut shown = String::new();
    loop {
        let progress = match client.get("/v1/status").await {
            Ok(status) => Progress::new(&status, offset),
            Err(err) => Progress::unknown(err.message()),
        };
        if progress.text != shown {
            eprintln!(
                "{} after {:.1} s",
                progress.text,
                started.elapsed().as_secs_f64()
            );
            shown = progress.text;
        }
        if progress.is_done {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            return Err(Failure::NotAppliedInTime(format!(
                "gave up waiting: {shown}"
            )));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

struct Progress {
    text: String,
    is_done: bool,
}

impl Progress {
    fn new(status: &Value, offset: Offset) -> Self {
        let has = |applied: &Value| applied.as_u64().is_some_and(|applied| applied > offset.0);
        let others = status["routers"].as_object();
        let live: Vec<_> = others
            .into_iter()
            .flatten()
            .filter(|(_, router)| router["state"] == "live")
            .collect();
        let own = status["router"].as_str().unwrap_or("?");
        let missing = live.iter().filter(|(_, router)| !has(&router["applied"]));
        let mut missing: Vec<_> = missing.map(|(name, _)| name.as_str()).collect();
        if !has(&status["applied"]) {
            missing.push(own);
        }
        let all = live.len() + 1;
        let mut text = format!("in force on {} of {all} routers", all - missing.len());
        if !missing.is_empty() {
            text += &format!(", missing {}", missing.join(" "));
        }
        let is_done = missing.is_empty();
        Progress { text, is_done }
    }

    fn unknown(message: &str) -> Self {
        Progress {
            text: format!("cannot look: {message}"),
            is_done: false,
        }
    }
}
