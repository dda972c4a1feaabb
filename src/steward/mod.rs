//! Counts the load of an engine at one router and grants slots on it.
//!
//! The steward of an engine is the router that ranks first for the engine's name.
//! It alone grants slots, so one place holds the engine to its bound. A router
//! that is not the steward asks it for a slot with a peer call.

mod answer;
mod book;
mod bound;
mod held;
mod message;
mod slot;
mod state;
mod stewardship;
mod task;

pub use self::{
    answer::Waiting,
    book::{Book, GrantId, Held, Holder, DISPATCH_TIME, HOLDER_TIMEOUT, REPORT_LAG},
    bound::{cautious_factor, load_bound, with_waiting, FRESH_FACTOR},
    held::HeldGrants,
    message::{
        GrantReply, GrantRequest, HandOver, HandOverRequest, Limit, ReleaseRequest, RenewReply,
        RenewRequest, Renewal,
    },
    slot::Slot,
    state::Steward,
    stewardship::{Leaving, Settled, Stage, Stewardship, TakingOver, HAND_OVER_HOLD},
    task::{keep_engines, renew_grants},
};
