//! Orders: what is decided from reports, and orders across real processes.

mod decide;
mod frozen;
mod moves;
mod shift;

#[path = "../support/mod.rs"]
mod support;
