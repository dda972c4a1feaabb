//! Answers: checked part by part, resumed, and never passed off as whole when they are not.

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
