//! Membership tests: probes, gossip updates, loads and their cost in bytes.
//!
//! Most run on a simulated network in virtual time; `processes` starts real routers.

#[path = "../support/mod.rs"]
mod support;

mod budget;
mod failure;
mod groups;
mod isolation;
mod load;
mod network;
mod processes;
mod refusing;
mod spread;
mod state_machine;
