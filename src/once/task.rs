//! A call with a key as its connection's task sees it: its claim, its result, its replay.

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
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time after which no router is asked again for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time a later attempt waits for the result of the first one.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Most attempts to append a result.
const RESULT_ATTEMPTS: u32 = 20;

/// Claims `key` for this router, or says why the call must not be dispatched here.
///
/// # Errors
///
/// Fails with the verdict "not run" when nothing was appended.
pub async fn claim(cx: &Router, key: &IdempotencyKey, issued: UnixMillis) -> Result<SettledClaim> {
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    let mut asking = ClaimAttempt::new(Claim::new(claim_id(cx, key, issued)));
    loop {
        let step = if Instant::now() < deadline {
            ask(cx, asking).await
        } else {
            asking.time_out()
        };
        match step {
            AttemptStep::Retry(next) => asking = next,
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

async fn ask(cx: &Router, asking: ClaimAttempt) -> AttemptStep {
    let req = asking.request();
    let Some(owner) = cx.partition_owner(req.key.partition(), asking.unresponsive()) else {
        let reply = answer_claim(cx, asking.claim().id(), req.append).await;
        return asking.on_reply(reply);
    };
    match call(cx, &owner, req).await {
        Ok(reply) => asking.on_reply(reply),
        Err(_) => AttemptStep::Retry(asking.on_no_reply(owner.name.clone())),
    }
}

async fn call<C: Call>(cx: &Router, owner: &Peer, req: C) -> Result<C::Answer> {
    cx.peers.call(&owner.name, owner.peer_address, req).await
}

/// Waits for what comes of a call that another claim holds.
pub async fn await_outcome(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
) -> Option<Outcome> {
    let deadline = Instant::now() + RESULT_TIMEOUT;
    let mut silent = Vec::new();
    while Instant::now() < deadline {
        let outcome = ask_outcome(cx, key, issued, &mut silent).await;
        if outcome.is_some() {
            return outcome;
        }
    }
    None
}

async fn ask_outcome(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
    silent: &mut Vec<RouterName>,
) -> Option<Outcome> {
    let Some(owner) = cx.partition_owner(key.partition(), silent) else {
        return answer_outcome(cx, key, issued).await;
    };
    let key = key.clone();
    let reply = call(cx, &owner, OutcomeRequest { key, issued }).await;
    if reply.is_err() {
        silent.push(owner.name.clone());
    }
    reply.ok().flatten()
}

/// Records the result of a call until the log has taken it.
///
/// Repeated records of one result are harmless: the first one counts.
pub async fn record_result(cx: &Router, result: ResultRecord) {
    if record_at_owner(cx, &result).await {
        return;
    }
    let partition = result.claim.key.partition();
    let record = StreamRecord::Result(result);
    for _ in 0..RESULT_ATTEMPTS {
        match cx.claims.append(partition, &record).await {
            Ok(_) => return,
            Err(err) => log::warn!("result not recorded error=\"{err}\""),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Has the owner append a result in one batch with others; returns whether it is in the log.
async fn record_at_owner(cx: &Router, result: &ResultRecord) -> bool {
    let partition = result.claim.key.partition();
    match cx.partition_owner(partition, &[]) {
        Some(owner) => call(cx, &owner, result.clone()).await.unwrap_or(false),
        None => false,
    }
}
