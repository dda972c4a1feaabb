//! Counts the load of an engine at one router and grants slots on it.
//!
//! The steward of an engine is the router that ranks first for the engine's name.
//! It alone grants slots, so the bound on the engine's load has one keeper. A router
//! that is not the steward asks it for a slot with a peer call.

mod bound;
mod message;
mod slot;
mod state;

pub use self::{
    bound::{cautious_factor, load_bound, LoadFloor, FLOOR_WINDOW, FRESH_FACTOR},
    message::{GrantReply, GrantRequest, ReleaseRequest},
    slot::Slot,
    state::{GrantId, Holder, Steward},
};
