//! Settings of this process, and the configuration that all routers share.
//!
//! The [`Settings`] are read from a file and apply to this process alone. The shared
//! configuration is event-sourced: it is a fold of the log stream [`CONFIG_STREAM`], whose
//! records every router applies in offset order, so that all reach the same [`ConfigState`].
//!
//! A router that cannot read the log pulls the records or the state that it lacks from other
//! routers. A router that starts after the log has dropped the first records begins at a
//! [`Checkpoint`].

mod apply;
mod assignment;
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
mod state;
mod task;

pub use self::{
    assignment::{Assignment, PoolAssignment},
    checkpoint::{checkpoint_due, newest_valid_checkpoint},
    decision::{ApplyOutcome, Decision, Rejection},
    message::{decode, ConfigHeadRequest, ConfigSinceReply, ConfigSinceRequest, EncodedRecord},
    moves::{LoadFailure, Move, StepOutcome, StepReport, MAX_REASON_LEN},
    object::{Model, Pool, Role, Service, ServiceKind, Team, DEFAULT_LOAD_FACTOR},
    pull::pull_from_peers,
    record::{Change, Checkpoint, Op, Record},
    settings::{Limits, ListenAddresses, Operator, Secret, Settings},
    shared::Config,
    state::{CheckpointInfo, ConfigState, DECISION_WINDOW_RECORDS},
    task::{follow_log, write_checkpoints},
};

/// Name of the log stream that holds the configuration.
pub const CONFIG_STREAM: &str = "config";
