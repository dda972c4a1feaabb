//! Confirmation of plans through the configuration stream.

use std::time::Duration;

use super::{Confirmed, Plan, PlanOutcome};
use crate::{
    config::{Record, CONFIG_STREAM},
    Category, Error, Result, Router, Verdict,
};

/// Longest time to wait, after an append, until this router has applied the change.
const DECISION_WAIT: Duration = Duration::from_secs(3);

/// Maximum number of appends in one confirmation.
const MAX_APPENDS: usize = 3;

/// Appends the change of `plan` and waits until this router has decided it.
///
/// When the answer to an append is lost, reading the stream shows whether the append
/// succeeded. Appending the change again is harmless, because the fold decides each change id
/// once.
///
/// # Errors
///
/// Returns an error with the verdict "not run" when this confirmation has changed nothing and
/// will not. Returns one with the verdict "may have run" when the plan may be in force or come
/// in force; confirming the same plan again returns its outcome.
pub async fn confirm(cx: &Router, plan: &Plan<Confirmed>) -> Result<PlanOutcome> {
    if let Some(outcome) = plan.outcome(&cx.config.current()) {
        return Ok(outcome);
    }
    let record = serde_json::to_value(Record::Change(plan.change()))
        .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
    let mut least_verdict = Verdict::NotRun;
    let mut last_error = Error::not_run(Category::LogUnavailable, "the change was not appended");
    for _ in 0..MAX_APPENDS {
        let result = cx
            .infra
            .log
            .append(CONFIG_STREAM, std::slice::from_ref(&record))
            .await;
        match result {
            Ok(_) => last_error = not_applied_yet(),
            Err(err) => last_error = log_unavailable(&err),
        }
        least_verdict = least_verdict.strongest(last_error.verdict());
        if least_verdict == Verdict::NotRun {
            return Err(last_error);
        }
        if let Some(outcome) = await_outcome(cx, plan).await {
            return Ok(outcome);
        }
    }
    Err(last_error.with_verdict_at_least(least_verdict))
}

/// Waits for the outcome of `plan` at this router, for at most [`DECISION_WAIT`].
async fn await_outcome(cx: &Router, plan: &Plan<Confirmed>) -> Option<PlanOutcome> {
    let mut applied = cx.config.subscribe();
    let outcome = async {
        loop {
            if let Some(outcome) = plan.outcome(&cx.config.current()) {
                return outcome;
            }
            if applied.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::time::timeout(DECISION_WAIT, outcome).await.ok()
}

fn not_applied_yet() -> Error {
    let message = "the change is appended, but this router has not applied it yet";
    Error::may_have_run(Category::Timeout, message)
}

fn log_unavailable(err: &Error) -> Error {
    Error::new(Category::LogUnavailable, err.verdict(), err.message())
}
