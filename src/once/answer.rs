//! What a router answers about the keys of a partition, which it follows for that.

use std::time::Duration;

use tokio::time::{timeout, timeout_at, Instant};

use super::{
    ClaimId, ClaimRecord, ClaimReply, Key, KeyReply, KeyRequest, Outcome, Record, ResultRecord,
    Review,
};
use crate::{peer::Hello, Router, UnixMillis, Verdict};

/// Longest time that an answer is held back; shorter than callers of a peer wait.
pub(super) const HOLD: Duration = Duration::from_millis(400);

/// Longest time that the answer to a result is held back, while the log is busy.
const RECORD_HOLD: Duration = Duration::from_millis(800);

/// Answers a call of another router.
pub async fn answer(cx: &Router, from: &Hello, req: KeyRequest) -> KeyReply {
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

/// Appends `claim` if the key is free and `append` is set, and says what the log shows then.
pub(super) async fn answer_claim(cx: &Router, claim: &ClaimId, append: bool) -> ClaimReply {
    let deadline = Instant::now() + HOLD;
    let partition = claim.key.partition();
    cx.once.want(partition, cx.clock.now());
    // A partition that is not read in time is reviewed as such.
    let _ = timeout_at(deadline, cx.once.read(partition)).await;
    let review = cx.once.ledger().review(claim);
    match review {
        Review::Behind => return ClaimReply::Behind,
        Review::Forgotten => return ClaimReply::Forgotten,
        Review::Shown(shown) => return ClaimReply::Shown(shown),
        Review::Free => {}
    }
    if append {
        let record = Record::Claim(claim_record(cx, claim));
        let appended = timeout_at(deadline, cx.once.append(partition, &record)).await;
        match appended {
            Ok(Err(err)) if err.verdict() == Verdict::NotRun => {
                return ClaimReply::Refused(err.classify(), err.message().into());
            }
            // A lost answer or a slow log: the log itself decides below.
            Ok(_) | Err(_) => {}
        }
    }
    let shown = timeout_at(deadline, cx.once.shown(claim)).await;
    shown.map_or(ClaimReply::Pending, ClaimReply::Shown)
}

fn claim_record(cx: &Router, claim: &ClaimId) -> ClaimRecord {
    // What was read must not be newer than the time of the record.
    let read = cx.once.ledger().applied(claim.key.partition());
    ClaimRecord {
        id: claim.clone(),
        made: cx.clock.wall(),
        read,
    }
}

/// Returns what came of a key, as soon as that is known.
pub(super) async fn answer_outcome(cx: &Router, key: &Key, issued: UnixMillis) -> Option<Outcome> {
    cx.once.want(key.partition(), cx.clock.now());
    timeout(HOLD, cx.once.outcome(key, issued)).await.ok()
}

/// Appends a result in the batch of its partition; returns whether it is in the log.
async fn answer_record(cx: &Router, result: ResultRecord) -> bool {
    let partition = result.claim.key.partition();
    let record = Record::Result(result);
    let appended = timeout(RECORD_HOLD, cx.once.append(partition, &record)).await;
    matches!(appended, Ok(Ok(_)))
}
