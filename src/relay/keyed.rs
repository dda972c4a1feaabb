//! Runs a call that must not be repeated, from its claim to its recorded result.

use std::sync::Arc;

use tokio::sync::oneshot;

use super::{
    service::{backend_request, candidate_servers, read_answer},
    ServiceAnswer, ServiceCall,
};
use crate::{
    admission::Permit,
    membership::Engine,
    once::{
        self, Acquired, Claim, Duplicate, IdempotencyKey, Outcome, RecordedResponse, ResultRecord,
        SettledClaim,
    },
    Category, Error, Result, Router, UnixMillis, Verdict,
};

/// Largest answer whose body is recorded.
const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// Maximum number of servers to which a connection is tried.
const MAX_SERVERS_TRIED: usize = 3;

/// The answer or error for the caller, and the result to append to the log, if there is one.
type KeyedOutcome = (Result<ServiceAnswer>, Option<ResultRecord>);

/// Claims and runs `call` on a separate task, which ends after the result is recorded.
///
/// A caller that disconnects interrupts neither the call nor the recording of its result.
pub(super) async fn call_keyed(
    cx: &Arc<Router>,
    call: ServiceCall,
    permit: Permit,
) -> Result<ServiceAnswer> {
    let (tx, rx) = oneshot::channel();
    let cx = cx.clone();
    tokio::spawn(async move {
        let _open_call = cx.claims.open_call();
        let (answer, result) = claim_and_run(&cx, &call).await;
        drop(permit);
        // The caller may have disconnected; its next attempt reads the recorded result.
        let _ = tx.send(answer);
        if let Some(result) = result {
            once::record_result(&cx, result).await;
        }
    });
    let no_answer = |_| {
        Error::may_have_run(
            Category::Backend,
            "the task of the call ended without an answer",
        )
    };
    rx.await.map_err(no_answer)?
}

async fn claim_and_run(cx: &Router, call: &ServiceCall) -> KeyedOutcome {
    match claim(cx, call).await {
        Ok((SettledClaim::Acquired(claim), ..)) => dispatch(cx, call, claim).await,
        Ok((SettledClaim::Duplicate(claim), key, issued)) => {
            (replay_result(cx, key, issued, claim).await, None)
        }
        Ok((SettledClaim::Indeterminate(claim), ..)) => {
            let message = "the log does not show which claim of the call came first";
            let err = Error::may_have_run(Category::LogUnavailable, message);
            (Err(err), Some(claim.abandon()))
        }
        Err(err) => (Err(err.with_verdict_at_least(call.min_verdict)), None),
    }
}

/// Checks the idempotency key and claims it in the log.
async fn claim<'a>(
    cx: &Router,
    call: &'a ServiceCall,
) -> Result<(SettledClaim, &'a IdempotencyKey, UnixMillis)> {
    let no_key = || Error::not_run(Category::BadInput, "the call has no idempotency key");
    let key = call.key.as_ref().ok_or_else(no_key)?;
    let issued = key.check_age(&cx.tickets, cx.clock.wall())?;
    // A claim can be used once only; do not use it up while no server could run the call.
    if candidate_servers(cx, call).is_empty() {
        return Err(Error::not_run(Category::Unavailable, "no server is live"));
    }
    let settled = once::claim(cx, key, issued).await?;
    Ok((settled, key, issued))
}

/// Sends a claimed call to the first server that accepts a connection.
///
/// The claim is used up whether the call succeeds or not.
async fn dispatch(cx: &Router, call: &ServiceCall, claim: Claim<Acquired>) -> KeyedOutcome {
    let mut failure = Error::not_run(Category::Unavailable, "no server is live");
    for (index, server) in candidate_servers(cx, call)
        .iter()
        .take(MAX_SERVERS_TRIED)
        .enumerate()
    {
        if index > 0 && !cx.admission.spend_retry(&call.team) {
            break;
        }
        match exchange(cx, call, server).await {
            Ok(answer) => {
                let result = claim.finish(Outcome::Answered(response_to_record(&answer)));
                return (Ok(answer), Some(result));
            }
            Err(err) => failure = err,
        }
        if failure.verdict() != Verdict::NotRun {
            return (Err(failure), None);
        }
    }
    // This call owns the first claim, so no attempt has run or can still run.
    (Err(failure), Some(claim.finish(Outcome::NotRun)))
}

async fn exchange(cx: &Router, call: &ServiceCall, server: &Engine) -> Result<ServiceAnswer> {
    let answer = cx
        .backends
        .send_on_new_connection(backend_request(call, server)?)
        .await?;
    read_answer(cx, answer).await
}

/// Answers a later attempt with the result that the owner of the first claim recorded.
async fn replay_result(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
    claim: Claim<Duplicate>,
) -> Result<ServiceAnswer> {
    let outcome = match claim.into_outcome() {
        Some(outcome) => Some(outcome),
        None => once::await_outcome(cx, key, issued).await,
    };
    match outcome {
        Some(Outcome::Answered(answer)) => replayed_answer(answer),
        Some(Outcome::NotRun) => {
            let message = "an earlier attempt was abandoned before the call ran; use a new key";
            Err(Error::not_run(Category::Conflict, message))
        }
        None => {
            let message = "another attempt has claimed the call and recorded no result yet";
            Err(Error::may_have_run(Category::Conflict, message))
        }
    }
}

/// Turns a recorded response into the answer to a later attempt.
fn replayed_answer(answer: RecordedResponse) -> Result<ServiceAnswer> {
    let not_recorded = || {
        let message = "the call has run, but its answer was too large to record";
        Error::new(Category::Conflict, Verdict::Ran, message)
    };
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.ok_or_else(not_recorded)?.into(),
        replayed: true,
    })
}

/// Returns the response to record, without its body if that is too large or not UTF-8.
fn response_to_record(answer: &ServiceAnswer) -> RecordedResponse {
    let small = answer.body.len() <= MAX_RECORDED_BODY_BYTES;
    let text = || String::from_utf8(answer.body.to_vec()).ok();
    RecordedResponse {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: small.then(text).flatten(),
    }
}
