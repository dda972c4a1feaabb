//! Claim, result and replay of a call with a key, as run by the task of its connection.

use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use super::{
    answer::{answer_claim, answer_outcome},
    AttemptStep, Claim, ClaimAttempt, ClaimId, IdempotencyKey, Outcome, OutcomeRequest,
    ResultRecord, SettledClaim, StreamRecord,
};
use crate::{membership::Peer, peer::Call, Result, Router, RouterName, UnixMillis};

/// Pause after a failed append of a result.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time after which no further request for a claim is sent.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time that a later attempt waits for the outcome of the first one.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of attempts to append a result.
const MAX_RESULT_ATTEMPTS: u32 = 20;

/// Claims `key` for this router and settles the claim.
///
/// # Errors
///
/// Returns an error when nothing was appended. Its verdict is "not run", or "may have run" when
/// an earlier claim of the key may have been missed or forgotten.
pub async fn claim(cx: &Router, key: &IdempotencyKey, issued: UnixMillis) -> Result<SettledClaim> {
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    let mut attempt = ClaimAttempt::new(Claim::new(claim_id(cx, key, issued)));
    loop {
        let step = if Instant::now() < deadline {
            request_claim(cx, attempt).await
        } else {
            attempt.time_out()
        };
        match step {
            AttemptStep::Retry(next) => attempt = next,
            AttemptStep::Settled(settled) => return Ok(settled),
            AttemptStep::Refused(err) => return Err(err),
        }
    }
}

fn claim_id(cx: &Router, key: &IdempotencyKey, issued: UnixMillis) -> ClaimId {
    ClaimId {
        key: key.clone(),
        issued,
        router: cx.settings.name.clone(),
        incarnation: cx.incarnation,
        nonce: Uuid::new_v4().as_u64_pair().1,
    }
}

async fn request_claim(cx: &Router, attempt: ClaimAttempt) -> AttemptStep {
    let req = attempt.request();
    let Some(owner) = cx.partition_owner(req.key.partition(), attempt.unresponsive()) else {
        let reply = answer_claim(cx, attempt.claim().id(), req.append).await;
        return attempt.on_reply(reply);
    };
    match call(cx, &owner, req).await {
        Ok(reply) => attempt.on_reply(reply),
        Err(_) => AttemptStep::Retry(attempt.on_no_reply(owner.name.clone())),
    }
}

async fn call<C: Call>(cx: &Router, owner: &Peer, req: C) -> Result<C::Answer> {
    cx.peers.call(&owner.name, owner.peer_address, req).await
}

/// Waits for the outcome of a call that another claim holds.
///
/// Returns `None` when it is not recorded within `RESULT_TIMEOUT`.
pub async fn await_outcome(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
) -> Option<Outcome> {
    let deadline = Instant::now() + RESULT_TIMEOUT;
    let mut unresponsive = Vec::new();
    while Instant::now() < deadline {
        let outcome = request_outcome(cx, key, issued, &mut unresponsive).await;
        if outcome.is_some() {
            return outcome;
        }
    }
    None
}

async fn request_outcome(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
    unresponsive: &mut Vec<RouterName>,
) -> Option<Outcome> {
    let Some(owner) = cx.partition_owner(key.partition(), unresponsive) else {
        return answer_outcome(cx, key, issued).await;
    };
    let key = key.clone();
    let reply = call(cx, &owner, OutcomeRequest { key, issued }).await;
    if reply.is_err() {
        unresponsive.push(owner.name.clone());
    }
    reply.ok().flatten()
}

/// Appends the result of a call to the log, and retries a failed append.
///
/// Repeated records of one result are harmless: only the first one counts.
pub async fn record_result(cx: &Router, result: ResultRecord) {
    if record_at_owner(cx, &result).await {
        return;
    }
    let partition = result.claim.key.partition();
    let record = StreamRecord::Result(result);
    for _ in 0..MAX_RESULT_ATTEMPTS {
        match cx.claims.append(partition, &record).await {
            Ok(_) => return,
            Err(err) => log::warn!("cannot append the result of a call error=\"{err}\""),
        }
        tokio::time::sleep(APPEND_RETRY_PAUSE).await;
    }
}

/// Asks the owner to append a result together with others; returns whether the append was
/// confirmed.
async fn record_at_owner(cx: &Router, result: &ResultRecord) -> bool {
    let partition = result.claim.key.partition();
    match cx.partition_owner(partition, &[]) {
        Some(owner) => call(cx, &owner, result.clone()).await.unwrap_or(false),
        None => false,
    }
}
