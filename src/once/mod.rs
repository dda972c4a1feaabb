//! Calls that must not be repeated: claimed through the log before they run.
//!
//! The first claim of a key in the order of the log wins, and only the router that
//! made it dispatches the call, once. A claim is never taken over. The recorded
//! result answers every later attempt at any router.

mod claim;
mod key;
mod ledger;
mod message;
mod task;

pub use self::{
    claim::{Claim, Lost, Pending, Settled, Unknown, Won},
    key::{Key, WINDOW},
    ledger::{Ledger, Standing},
    message::{ClaimRecord, Record, Recorded, ResultRecord},
    task::{append_batches, await_result, claim, record_result, tail, Once},
};

/// Number of streams that claims are spread over.
pub const PARTITIONS: usize = 4;
