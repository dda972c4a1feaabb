//! Which router may order changes to engines: a lease for each group of pools.
//!
//! A group has a log stream of its own. A record names the position at which it counts,
//! so every router judges each record by itself: a record that arrives at another
//! position, because one came before it or because it came late, is void. Whoever bids
//! has read every record below that position and has waited until the lease named there
//! lapsed. The holder counts its time from before its append, the others from when they
//! saw the record, so the holder stops first. The offset of a tenure's first record is
//! its fencing number.

mod message;
mod state;
mod stream;
mod task;

pub use self::{
    message::LeaseRecord,
    state::{Candidate, Held, Lapsed, Lease, LeaseHolder, LeaseState, LeaseTiming, PendingRecord},
    stream::{CurrentRecord, LeaseStream},
    task::{contend, LeaseTerm, Leases},
};

use crate::{placement, PoolName};

/// Number of groups that the pools are spread over.
pub const GROUPS: usize = 4;

/// Returns the group whose lease covers orders to the engines of `pool`.
pub fn group_of(pool: &PoolName) -> usize {
    (placement::rendezvous_score("lease-group", pool.as_str()) % GROUPS as u64) as usize
}
