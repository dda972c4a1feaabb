//! Settings of this process, and the configuration that all routers share.
//!
//! The [`Settings`] come from a file and hold what only this process needs. The
//! shared configuration is a fold of the log stream [`STREAM`]: every router
//! applies the same records in offset order and so reaches the same [`State`].
//!
//! A router that cannot read the log pulls what it misses from other routers. One that
//! starts when the log has dropped the first records begins at a [`Checkpoint`].

mod apply;
mod check;
mod checkpoint;
mod decision;
mod message;
mod moves;
mod object;
mod pull;
mod record;
mod settings;
mod shared;
mod spread;
mod state;
mod task;

pub use self::{
    checkpoint::{checkpoint_due, newest_usable},
    decision::{Decision, Outcome, Rejection},
    message::{decode, ConfigHead, ConfigPart, ConfigSince, EncodedRecord},
    moves::{Halt, Move, MoveStep, StepResult, MAX_REASON_LEN},
    object::{Model, Pool, Role, Service, ServiceKind, Team, DEFAULT_LOAD_FACTOR},
    pull::follow_peers,
    record::{Change, Checkpoint, Op, Record},
    settings::{Limits, Listen, Operator, Secret, Settings},
    shared::Config,
    spread::{Assignment, Spread},
    state::{CheckpointMark, State, WINDOW},
    task::{follow, write_checkpoints},
};

/// Name of the log stream that holds the configuration.
pub const STREAM: &str = "config";
