//! Orders: what is decided from reports, and orders across real processes.

mod decide;
mod moves;
mod paused_holder;
mod team_moves;

#[path = "../support/mod.rs"]
mod support;
