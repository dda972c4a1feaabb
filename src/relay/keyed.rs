//! One call that must not be repeated, from its claim to its recorded result.

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

/// Largest answer that is recorded whole, in bytes.
const MAX_RECORDED: usize = 16 * 1024;

/// Most servers that are tried for a connection.
const MAX_SERVERS: usize = 3;

/// An answer or error, and the result to record when the claim was not lost.
type Settlement = (Result<ServiceAnswer>, Option<ResultRecord>);

/// Claims and runs `call` on a task of its own, which ends after the result is recorded.
///
/// A caller that goes away interrupts neither the call nor the record of its result.
pub(super) async fn call_keyed(
    cx: &Arc<Router>,
    call: ServiceCall,
    permit: Permit,
) -> Result<ServiceAnswer> {
    let (tx, rx) = oneshot::channel();
    let cx = cx.clone();
    tokio::spawn(async move {
        let _open = cx.claims.open_call();
        let (answer, result) = settle(&cx, &call).await;
        drop(permit);
        // The caller may be gone; its next attempt reads the recorded result.
        let _ = tx.send(answer);
        if let Some(result) = result {
            once::record_result(&cx, result).await;
        }
    });
    let abandoned = |_| Error::may_have_run(Category::Backend, "the call was abandoned");
    rx.await.map_err(abandoned)?
}

async fn settle(cx: &Router, call: &ServiceCall) -> Settlement {
    match claim(cx, call).await {
        Ok((SettledClaim::Acquired(claim), ..)) => dispatch(cx, call, claim).await,
        Ok((SettledClaim::Duplicate(claim), key, issued)) => {
            (replay(cx, key, issued, claim).await, None)
        }
        Ok((SettledClaim::Indeterminate(claim), ..)) => {
            let message = "the log does not show the claim";
            let err = Error::may_have_run(Category::LogUnavailable, message);
            (Err(err), Some(claim.give_up()))
        }
        Err(err) => (Err(err.with_verdict_at_least(call.min_verdict)), None),
    }
}

async fn claim<'a>(
    cx: &Router,
    call: &'a ServiceCall,
) -> Result<(SettledClaim, &'a IdempotencyKey, UnixMillis)> {
    let no_key = || Error::not_run(Category::BadInput, "the call has no key");
    let key = call.key.as_ref().ok_or_else(no_key)?;
    let issued = key.check_age(&cx.tickets, cx.clock.wall())?;
    // Without a server a won claim would be spent on nothing.
    if candidate_servers(cx, call).is_empty() {
        return Err(Error::not_run(Category::Unavailable, "no server is live"));
    }
    let settled = once::claim(cx, key, issued).await?;
    Ok((settled, key, issued))
}

/// Sends a claimed call to one server; the claim is spent whatever comes of it.
async fn dispatch(cx: &Router, call: &ServiceCall, claim: Claim<Acquired>) -> Settlement {
    let mut failure = Error::not_run(Category::Unavailable, "no server is live");
    for (index, server) in candidate_servers(cx, call)
        .iter()
        .take(MAX_SERVERS)
        .enumerate()
    {
        if index > 0 && !cx.admission.spend_retry(&call.team) {
            break;
        }
        match exchange(cx, call, server).await {
            Ok(answer) => {
                let result = claim.finish(Outcome::Answered(recorded(&answer)));
                return (Ok(answer), Some(result));
            }
            Err(err) => failure = err,
        }
        if failure.verdict() != Verdict::NotRun {
            return (Err(failure), None);
        }
    }
    // The owner of the first claim gives up: no attempt can run, whatever came before.
    (Err(failure), Some(claim.finish(Outcome::NotRun)))
}

async fn exchange(cx: &Router, call: &ServiceCall, server: &Engine) -> Result<ServiceAnswer> {
    let answer = cx
        .backends
        .send_on_new_connection(backend_request(call, server)?)
        .await?;
    read_answer(cx, answer).await
}

/// Answers a later attempt with the recorded result of the first claim.
async fn replay(
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
        Some(Outcome::Answered(answer)) => replayed(answer),
        Some(Outcome::NotRun) => {
            let message = "the call was given up before it ran; use a new key";
            Err(Error::not_run(Category::Conflict, message))
        }
        None => {
            let message = "another attempt has claimed the call and recorded no result yet";
            Err(Error::may_have_run(Category::Conflict, message))
        }
    }
}

fn replayed(answer: RecordedResponse) -> Result<ServiceAnswer> {
    let lost = || {
        let message = "the call has run, but its answer was too large to record";
        Error::new(Category::Conflict, Verdict::Ran, message)
    };
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.ok_or_else(lost)?.into(),
        replayed: true,
    })
}

fn recorded(answer: &ServiceAnswer) -> RecordedResponse {
    let small = answer.body.len() <= MAX_RECORDED;
    let text = || String::from_utf8(answer.body.to_vec()).ok();
    RecordedResponse {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: small.then(text).flatten(),
    }
}
