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
mod asking;
mod claim;
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
    asking::{Asking, Step},
    claim::{Claim, Lost, Pending, Settled, Unknown, Won},
    follow::{follow, keep_owned},
    key::{Key, CLOCK_ERROR, WINDOW},
    ledger::{Ledger, Review, Standing, MAX_ANSWER_BYTES, MAX_KEYS},
    message::{ClaimId, ClaimRecord, Outcome, Record, Recorded, ResultRecord},
    partition::{stream, PARTITIONS},
    request::{ClaimReply, ClaimRequest, KeyReply, KeyRequest, OutcomeRequest, Shown},
    state::{Once, OpenCall, LINGER},
    task::{await_outcome, claim, record_result},
};
