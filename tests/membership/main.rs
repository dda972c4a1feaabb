//! Membership: probes, rumours, loads and their cost, on a network in virtual time.

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
