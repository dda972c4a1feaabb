//! Tests of the operators' command line against a fleet of router and engine processes.

#[path = "../support/mod.rs"]
mod support;

mod command;
mod confirm;
mod drain;
mod explain;
mod pipe;
mod query;
mod rebalance;
mod settings;
