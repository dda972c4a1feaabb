//! Settings of this process, and the configuration that all routers share.
//!
//! The [`Settings`] come from a file and hold what only this process needs. The
//! shared configuration is a fold of the log stream [`STREAM`]: every router
//! applies the same records in offset order and so reaches the same [`State`].

mod object;
mod record;
mod settings;
mod state;
mod task;

pub use self::{
    object::{Model, Pool, Service, ServiceKind, Team, DEFAULT_LOAD_FACTOR},
    record::{Change, Op, Record},
    settings::{Limits, Listen, Operator, Secret, Settings},
    state::{Config, Outcome, State},
    task::follow,
};

/// Name of the log stream that holds the configuration.
pub const STREAM: &str = "config";
