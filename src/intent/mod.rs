//! From what an operator wants to a change that holds everywhere.
//!
//! An [`Intent`] becomes a [`Plan`], a pure function of the configuration and of the
//! fleet as one router sees it. The router keeps nothing: the plan travels to the operator
//! as a sealed token, and confirming it sends the token back to any router, which
//! appends its change to the configuration stream. The fold accepts or rejects it.

mod capacity;
mod confirm;
mod draft;
mod fleet;
mod manifest;
mod plan;
mod rebalance;
mod request;
mod token;

pub use self::{
    capacity::PoolCapacity,
    confirm::confirm,
    draft::draft,
    fleet::{EngineView, FleetView},
    manifest::{Manifest, Removals},
    plan::{ColdChats, Confirmed, Drafted, Plan, PlanDocument, PlanOutcome, Step},
    rebalance::VersionCapacity,
    request::Intent,
    token::PlanToken,
};
