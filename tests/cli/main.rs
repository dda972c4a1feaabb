//! The command line against a fleet of processes.

#[path = "../support/mod.rs"]
mod support;

mod confirm;
mod drain;
mod explain;
mod look;
mod pipe;
mod rebalance;
mod settings;
mod tool;
