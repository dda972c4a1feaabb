//! Calls that must not be repeated: claimed through the log before they run.
//!
//! The first claim of a key in the order of the log wins, and only the router that
//! made it dispatches the call, once. A claim is never taken over. The recorded
//! result answers every later attempt at any router. A key whose first claim the ledger
//! may have missed or forgotten is never run.
//!
//! Each partition is followed by its owner, which other routers ask to append their claims
//! and to say what the log shows. Nothing depends on there being only one owner.

mod answer;
mod append;
mod claim;
mod claim_attempt;
mod follow;
mod key;
mod ledger;
mod message;
mod partition;
mod request;
mod state;
mod task;

pub use self::{
    answer::answer,
    append::{append_claims, append_results},
    claim::{Acquired, Claim, Duplicate, Indeterminate, Pending, SettledClaim},
    claim_attempt::{AttemptStep, ClaimAttempt},
    follow::{follow_owned_partitions, follow_partition},
    key::{IdempotencyKey, KEY_MAX_AGE, MAX_CLOCK_SKEW},
    ledger::{ClaimCheck, ClaimLedger, KeyState, MAX_ANSWER_BYTES, MAX_KEYS},
    message::{ClaimId, ClaimRecord, Outcome, RecordedResponse, ResultRecord, StreamRecord},
    partition::{stream, PARTITIONS},
    request::{ClaimPosition, ClaimReply, ClaimRequest, KeyReply, KeyRequest, OutcomeRequest},
    state::{ClaimStore, OpenCall, FOLLOW_IDLE_TIMEOUT},
    task::{await_outcome, claim, record_result},
};
