//! Orders to engines: decisions from reports, and moves through real processes.

mod decide;
mod moves;
mod paused_holder;
mod team_moves;

#[path = "../support/mod.rs"]
mod support;
