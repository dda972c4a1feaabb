//! Settings, and the fold of the configuration stream.

#[path = "../support/mod.rs"]
mod support;

mod checkpoint;
mod fleet;
mod fold;
mod machine;
mod records;
mod settings;
mod spec;
