//! Passing answers on: streams are checked and resumed, incomplete answers are never passed on
//! as complete, and poison requests are quarantined.

mod connection_reuse;
mod duplicates;
mod engine_restart;
mod quarantine;
mod raw_http;
mod resume;
mod sequence;
mod silent_connection;
#[path = "../support/mod.rs"]
mod support;
