//! Settings, and the fold of the configuration stream.

#[path = "../support/mod.rs"]
mod support;

mod checkpoint;
mod classes;
mod fleet;
mod fold;
mod moves;
mod records;
mod settings;
mod spec;
mod state_machine;
