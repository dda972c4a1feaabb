//! Waits until every live router has applied a change.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::{AdminClient, CommandResult, Failure};
use crate::Offset;

/// Time between two queries of the routers' status.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Waits until every live router has applied the record at `offset`, and prints the progress
/// to the standard error.
pub(super) async fn until_applied(
    client: &AdminClient,
    offset: Offset,
    timeout: Duration,
) -> CommandResult {
    let started = Instant::now();
    let mut printed = String::new();
    loop {
        let progress = match client.get("/v1/status").await {
            Ok(status) => Progress::new(&status, offset),
            Err(err) => Progress::unknown(err.message()),
        };
        if progress.text != printed {
            eprintln!(
                "{} after {:.1} s",
                progress.text,
                started.elapsed().as_secs_f64()
            );
            printed = progress.text;
        }
        if progress.is_done {
            return Ok(());
        }
        if started.elapsed() >= timeout {
            return Err(Failure::NotAppliedInTime(format!(
                "the change was not applied in time: {printed}"
            )));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// How many live routers have applied a change.
struct Progress {
    text: String,
    is_done: bool,
}

impl Progress {
    /// Counts the routers in a status response that have applied the record at `offset`.
    fn new(status: &Value, offset: Offset) -> Self {
        let has_applied =
            |applied: &Value| applied.as_u64().is_some_and(|applied| applied > offset.0);
        let other_routers = status["routers"].as_object();
        let live: Vec<_> = other_routers
            .into_iter()
            .flatten()
            .filter(|(_, router)| router["state"] == "live")
            .collect();
        let own_name = status["router"].as_str().unwrap_or("?");
        let missing = live
            .iter()
            .filter(|(_, router)| !has_applied(&router["applied"]));
        let mut missing: Vec<_> = missing.map(|(name, _)| name.as_str()).collect();
        if !has_applied(&status["applied"]) {
            missing.push(own_name);
        }
        let all = live.len() + 1;
        let mut text = format!("applied by {} of {all} routers", all - missing.len());
        if !missing.is_empty() {
            text += &format!(", not yet by {}", missing.join(" "));
        }
        let is_done = missing.is_empty();
        Progress { text, is_done }
    }

    /// Describes a status request that failed with `message`.
    fn unknown(message: &str) -> Self {
        Progress {
            text: format!("cannot read the status: {message}"),
            is_done: false,
        }
    }
}
