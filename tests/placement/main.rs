//! Placement and lookup.

mod directory;
mod hinted;
mod lookup;
mod preferred;
mod prompt;
mod support;
