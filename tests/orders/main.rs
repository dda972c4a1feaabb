//! Orders: what is decided from reports, and orders across real processes.

mod decide;
mod frozen;
mod moves;

#[path = "../support/mod.rs"]
mod support;
