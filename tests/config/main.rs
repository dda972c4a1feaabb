//! Settings, and the shared configuration of the routers.

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
