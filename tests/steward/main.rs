//! The steward's decisions.

mod model;
mod support;
mod takeover;
mod window;
