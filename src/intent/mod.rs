//! Planning and confirmation of configuration changes by operators.
//!
//! A [`Plan`] is a pure function of an [`Intent`], the configuration, and the fleet as one
//! router sees it. The router stores no plans: it returns the plan to the operator as an
//! authenticated token. To confirm the plan, the operator sends the token to any router, which
//! appends the change to the configuration stream. The fold accepts or rejects the change at
//! all routers alike.

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
