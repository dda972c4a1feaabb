//! Answers to requests about keys; the router follows the partitions of these keys.

use std::time::Duration;

use tokio::time::{timeout, timeout_at, Instant};

use super::{
    ClaimCheck, ClaimId, ClaimRecord, ClaimReply, IdempotencyKey, KeyReply, KeyRequest, Outcome,
    ResultRecord, StreamRecord,
};
use crate::{peer::Hello, Router, UnixMillis, Verdict};

/// Longest time that an answer is held back; shorter than the timeout of a call to a peer.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_millis(400);

/// Longest time that the answer to a result is held back, while the log is busy.
const MAX_RECORD_HOLD_TIME: Duration = Duration::from_millis(800);

/// Handles a request of another router about a key.
pub async fn handle_request(cx: &Router, from: &Hello, req: KeyRequest) -> KeyReply {
    match req {
        KeyRequest::Claim(req) => {
            let claim = ClaimId {
                key: req.key,
                issued: req.issued,
                router: from.router.clone(),
                incarnation: from.incarnation,
                nonce: req.nonce,
            };
            KeyReply::Claim(answer_claim(cx, &claim, req.append).await)
        }
        KeyRequest::Outcome(req) => {
            KeyReply::Outcome(answer_outcome(cx, &req.key, req.issued).await)
        }
        KeyRequest::Record(result) => KeyReply::Recorded(answer_record(cx, result).await),
    }
}

/// Appends `claim` if its key is unclaimed and `append` is set, and returns its position.
pub(super) async fn answer_claim(cx: &Router, claim: &ClaimId, append: bool) -> ClaimReply {
    let deadline = Instant::now() + MAX_HOLD_TIME;
    let partition = claim.key.partition();
    cx.claims.keep_following(partition, cx.clock.now());
    // After a timeout, the check below finds that the partition is not caught up.
    let _ = timeout_at(deadline, cx.claims.wait_caught_up(partition)).await;
    let check = cx.claims.ledger().check_claim(claim);
    match check {
        ClaimCheck::NotCaughtUp => return ClaimReply::NotCaughtUp,
        ClaimCheck::Forgotten => return ClaimReply::Forgotten,
        ClaimCheck::Logged(position) => return ClaimReply::Logged(position),
        ClaimCheck::Unclaimed => {}
    }
    if append {
        let record = StreamRecord::Claim(claim_record(cx, claim));
        let appended = timeout_at(deadline, cx.claims.append(partition, &record)).await;
        match appended {
            Ok(Err(err)) if err.verdict() == Verdict::NotRun => {
                return ClaimReply::Refused(err.classify(), err.message().into());
            }
            // The append was confirmed or may still succeed: the position in the log decides.
            Ok(_) | Err(_) => {}
        }
    }
    let position = timeout_at(deadline, cx.claims.wait_claim_position(claim)).await;
    position.map_or(ClaimReply::Pending, ClaimReply::Logged)
}

fn claim_record(cx: &Router, claim: &ClaimId) -> ClaimRecord {
    // Read before the clock: the offset must not be newer than the time of the record.
    let read = cx.claims.ledger().applied(claim.key.partition());
    ClaimRecord {
        id: claim.clone(),
        made: cx.clock.wall(),
        read,
    }
}

/// Returns the outcome of `key`, or `None` if it is not recorded within [`MAX_HOLD_TIME`].
pub(super) async fn answer_outcome(
    cx: &Router,
    key: &IdempotencyKey,
    issued: UnixMillis,
) -> Option<Outcome> {
    cx.claims.keep_following(key.partition(), cx.clock.now());
    timeout(MAX_HOLD_TIME, cx.claims.wait_outcome(key, issued))
        .await
        .ok()
}

/// Appends a result together with other records of its partition; returns whether the append
/// was confirmed.
async fn answer_record(cx: &Router, result: ResultRecord) -> bool {
    let partition = result.claim.key.partition();
    let record = StreamRecord::Result(result);
    let appended = timeout(MAX_RECORD_HOLD_TIME, cx.claims.append(partition, &record)).await;
    matches!(appended, Ok(Ok(_)))
}
