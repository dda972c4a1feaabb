//! The steward's decisions.

mod listed;
mod model;
mod seeking;
mod support;
mod surge;
mod suspects;
mod takeover;
mod waiting;
mod window;
