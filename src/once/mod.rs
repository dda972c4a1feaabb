//! Calls that must not be repeated: claimed through the log before they run.
//!
//! The first claim of a key in the order of the log wins, and only the router that
//! made it dispatches the call, once. A claim is never taken over. The recorded
//! result answers every later attempt at any router. A key whose first claim the ledger
//! may have missed or forgotten is never run.

mod claim;
mod key;
mod ledger;
mod message;
mod task;

pub use self::{
    claim::{Claim, Lost, Pending, Settled, Unknown, Won},
    key::{Key, CLOCK_ERROR, WINDOW},
    ledger::{Ledger, Standing, MAX_ANSWER_BYTES, MAX_KEYS},
    message::{ClaimRecord, Outcome, Record, Recorded, ResultRecord},
    task::{append_batches, await_outcome, claim, record_result, tail, Once, OpenCall},
};

/// Number of streams that claims are spread over.
pub const PARTITIONS: usize = 4;
