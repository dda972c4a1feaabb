//! The steward's decisions.

mod model;
mod support;
mod surge;
mod suspects;
mod takeover;
mod window;
