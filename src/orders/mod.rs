//! Orders to engines: load, warm and unload versions, change a role.
//!
//! Reconciliation is level-triggered: the holder of a group's lease compares the desired state
//! from the configuration with the report of each engine and sends the next order. Another
//! router can therefore continue at any time from the configuration and the reports alone.
//!
//! A step that concerns all routers, such as the switch of teams to a version that is ready
//! or the stop of a move, is appended to the configuration stream under the same fencing
//! number.
//!
//! Each order carries the fencing number of the lease. An engine that ignores it gets no
//! order until the longest order of the previous lease holder has ended. Its report is read
//! more often, so that the effect of a late order is soon corrected.

mod decide;
mod desired;
mod message;
mod move_step;
mod progress;
mod retry;
mod status;
mod task;

pub use self::{
    decide::{decide, PoolDecision, StoppedMove},
    desired::DesiredState,
    message::{EngineReport, FencedOrder, Order, VersionState},
    move_step::next_move_step,
    progress::{OrderProgress, PoolProgress},
    retry::Retries,
    status::{load_failures, moves, rebalancing, LoadFailureStatus, MoveStatus},
    task::reconcile_group,
};
