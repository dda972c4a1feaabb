//! Placement and lookup.

mod directory;
mod hinted;
mod lookup;
mod preferred;
mod support;
