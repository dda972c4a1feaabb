//! Counts the load of an engine at one router, its steward, and grants slots on the engine.
//!
//! The steward of an engine is the router that ranks first for the engine's name in
//! rendezvous hashing. It alone grants slots, so that the load bound of the engine is
//! enforced in one place. Other routers ask the steward for a slot with a peer call. A router
//! is said to count the engines of which it is the steward.

mod answer;
mod bound;
mod grant_ledger;
mod held_grants;
mod message;
mod slot;
mod state;
mod stewardship;
mod task;

pub use self::{
    answer::WaitingCounts,
    bound::{cautious_factor, load_bound, with_waiting, UNCACHED_LOAD_FACTOR},
    grant_ledger::{
        GrantHolder, GrantId, GrantLedger, RouterGrants, HOLDER_TIMEOUT, MAX_DISPATCH_DELAY,
        MAX_REPORT_AGE,
    },
    held_grants::HeldGrants,
    message::{
        GrantReply, GrantRequest, HandOver, HandOverRequest, LoadLimit, ReleaseRequest, RenewReply,
        RenewRequest, Renewal,
    },
    slot::Slot,
    state::Steward,
    stewardship::{Leaving, Settled, Stewardship, StewardshipStage, TakingOver, MIN_RECLAIM_DELAY},
    task::{renew_grants, run_stewardships},
};
