//! Calls that must not be repeated: never run twice, and "not run" only when that is so.

mod asks;
mod fuzz;
mod ledger;
mod owners;
mod processes;
mod spec;
#[path = "../support/mod.rs"]
mod support;
mod world;
