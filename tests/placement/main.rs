//! Placement and lookup.

mod directory;
mod lookup;
mod preferred;
mod support;
