//! Leases that decide which router may send orders to engines, one for each group of pools.
//!
//! Each group has a log stream of its own. A record names the position at which it is
//! valid, so every router decides alone whether a record counts: one that lands at another
//! position, because it was delayed or another record preceded it, is void. A router bids
//! only after it has read every record below that position and has waited until the lease
//! recorded there has expired. The holder measures its term from before its append, and
//! the other routers from when they read the record, so the holder stops first. The
//! offset of the first record of a lease term is its fencing number.

mod message;
mod state;
mod stream;
mod task;

pub use self::{
    message::LeaseRecord,
    state::{Candidate, Held, Lapsed, Lease, LeaseHolder, LeaseState, LeaseTiming, PendingRecord},
    stream::{CurrentRecord, LeaseStream},
    task::{run_lease, LeaseTerm, Leases},
};

use crate::{placement, PoolName};

/// Number of lease groups that the pools are distributed over.
pub const GROUPS: usize = 4;

/// Returns the lease group of `pool`, whose holder may send orders to the pool's engines.
pub fn group_of(pool: &PoolName) -> usize {
    (placement::rendezvous_score("lease-group", pool.as_str()) % GROUPS as u64) as usize
}
