//! Answers: checked part by part, resumed, and never passed off as whole when they are not.

mod copies;
mod quarantine;
mod raw;
mod restart;
mod resume;
mod reuse;
mod sequence;
mod silence;
#[path = "../support/mod.rs"]
mod support;
