//! A call with a key as its connection's task sees it: its claim, its result, its replay.

use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use super::{
    answer::{answer_claim, answer_outcome},
    Asking, Claim, ClaimId, Key, Outcome, OutcomeRequest, Record, ResultRecord, Settled, Step,
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
pub async fn claim(cx: &Router, key: &Key, issued: UnixMillis) -> Result<Settled> {
    let deadline = Instant::now() + CLAIM_TIMEOUT;
    let mut asking = Asking::new(Claim::new(claim_id(cx, key, issued)));
    loop {
        let step = if Instant::now() < deadline {
            ask(cx, asking).await
        } else {
            asking.time_out()
        };
        match step {
            Step::Again(next) => asking = next,
            Step::Settled(settled) => return Ok(settled),
            Step::Refused(err) => return Err(err),
        }
    }
}

fn claim_id(cx: &Router, key: &Key, issued: UnixMillis) -> ClaimId {
    ClaimId {
        key: key.clone(),
        issued,
        router: cx.settings.name.clone(),
        incarnation: cx.incarnation,
        nonce: Uuid::new_v4().as_u64_pair().1,
    }
}

async fn ask(cx: &Router, asking: Asking) -> Step {
    let req = asking.request();
    let Some(owner) = cx.owner_of_claims(req.key.partition(), asking.silent()) else {
        let reply = answer_claim(cx, asking.claim().id(), req.append).await;
        return asking.answered(reply);
    };
    match call(cx, &owner, req).await {
        Ok(reply) => asking.answered(reply),
        Err(_) => Step::Again(asking.unanswered(owner.name.clone())),
    }
}

async fn call<C: Call>(cx: &Router, owner: &Peer, req: C) -> Result<C::Answer> {
    cx.peers.call(&owner.name, owner.peer_address, req).await
}

/// Waits for what comes of a call that another claim holds.
pub async fn await_outcome(cx: &Router, key: &Key, issued: UnixMillis) -> Option<Outcome> {
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
    key: &Key,
    issued: UnixMillis,
    silent: &mut Vec<RouterName>,
) -> Option<Outcome> {
    let Some(owner) = cx.owner_of_claims(key.partition(), silent) else {
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
    let record = Record::Result(result);
    for _ in 0..RESULT_ATTEMPTS {
        match cx.once.append(partition, &record).await {
            Ok(_) => return,
            Err(err) => log::warn!("result not recorded error=\"{err}\""),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Has the owner append a result in one batch with others; returns whether it is in the log.
async fn record_at_owner(cx: &Router, result: &ResultRecord) -> bool {
    let partition = result.claim.key.partition();
    match cx.owner_of_claims(partition, &[]) {
        Some(owner) => call(cx, &owner, result.clone()).await.unwrap_or(false),
        None => false,
    }
}
