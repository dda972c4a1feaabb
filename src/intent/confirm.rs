//! Confirms a plan through the configuration stream.

use std::time::Duration;

use super::{Confirmed, Plan, PlanOutcome};
use crate::{
    config::{Record, CONFIG_STREAM},
    Category, Error, Result, Router, Verdict,
};

/// Longest time from an append to the fold's decision at this router.
const DECISION_WAIT: Duration = Duration::from_secs(3);

/// Most appends of one confirmation.
const MAX_APPENDS: usize = 3;

/// Appends the change of `plan` and waits for what the fold makes of it.
///
/// An append whose answer is lost is resolved by reading the stream; appending it
/// again is harmless, as the fold decides a change id once.
///
/// # Errors
///
/// With the verdict "not run" this confirmation has changed nothing and will not. With
/// "may have run" the plan may be or come in force: confirming it again tells.
pub async fn confirm(cx: &Router, plan: &Plan<Confirmed>) -> Result<PlanOutcome> {
    if let Some(settled) = plan.outcome(&cx.config.current()) {
        return Ok(settled);
    }
    let record = serde_json::to_value(Record::Change(plan.change()))
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
    let mut floor = Verdict::NotRun;
    let mut last = Error::not_run(Category::LogUnavailable, "not appended");
    for _ in 0..MAX_APPENDS {
        let appended = cx
            .infra
            .log
            .append(CONFIG_STREAM, std::slice::from_ref(&record))
            .await;
        match appended {
            Ok(_) => last = undecided(),
            Err(err) => last = unavailable(&err),
        }
        floor = floor.strongest(last.verdict());
        if floor == Verdict::NotRun {
            return Err(last);
        }
        if let Some(settled) = decision(cx, plan).await {
            return Ok(settled);
        }
    }
    Err(last.with_verdict_at_least(floor))
}

async fn decision(cx: &Router, plan: &Plan<Confirmed>) -> Option<PlanOutcome> {
    let mut applied = cx.config.watch();
    let decided = async {
        loop {
            if let Some(settled) = plan.outcome(&cx.config.current()) {
                return settled;
            }
            if applied.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::time::timeout(DECISION_WAIT, decided).await.ok()
}

fn undecided() -> Error {
    let message = "appended, but this router has not read it yet";
    Error::may_have_run(Category::Timeout, message)
}

fn unavailable(err: &Error) -> Error {
    Error::new(Category::LogUnavailable, err.verdict(), err.message())
}
