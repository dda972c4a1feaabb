//! Calls that must not be repeated: never run twice, and "not run" only when that is so.

mod claim_messages;
mod fuzz;
mod ledger;
mod partition_owners;
mod processes;
mod simulation;
mod spec;
#[path = "../support/mod.rs"]
mod support;
