//! At-most-once execution: a call with an idempotency key is claimed through the log before
//! it runs.
//!
//! The first claim of a key in the order of the log holds the key, and only the router that
//! made this claim dispatches the call, once. No other router takes a claim over. The recorded
//! response answers every later attempt at any router. A call is never run if the ledger may
//! have missed or forgotten the first claim of its key.
//!
//! The claims are split into partitions, each with an owner that follows its stream in the
//! log. Other routers ask the owner to append their claims and to return their positions.
//! At-most-once execution does not depend on a partition having only one owner.

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
    answer::handle_request,
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
