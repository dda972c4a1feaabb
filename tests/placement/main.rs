//! Tests of placement and lookup.

mod directory;
mod hinted;
mod lookup;
mod preferred;
mod prefill;
mod prompt;
mod support;
mod uneven;
