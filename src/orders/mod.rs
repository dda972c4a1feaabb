//! Orders to engines: load, warm and unload versions, change a role.
//!
//! Orders are level-triggered. The holder of a group's lease compares what the
//! configuration wants with what each engine reports and sends the next order, so
//! another router can go on at any time from the configuration and the reports alone.
//! A step that concerns all routers, the shift of teams to a version that is ready or the
//! stop of a move, goes into the configuration stream under the same fencing number.
//! An order carries the fencing number of the lease. To an engine that ignores it,
//! nothing is sent until the longest order of the holder before has ended, and its
//! report is read more often, so that a late order is soon set right.

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
