//! At-most-once execution: no call runs twice, and the verdict "not run" is always true.

mod claim_messages;
mod fuzz;
mod ledger;
mod partition_owners;
mod processes;
mod simulation;
mod spec;
#[path = "../support/mod.rs"]
mod support;
