//! Orders to engines: load, warm and unload versions, change a role.
//!
//! Orders are level-triggered. The holder of a group's lease compares what the
//! configuration wants with what each engine reports and sends the next order, so
//! another router can go on at any time from the configuration and the reports alone.
//! An order carries the fencing number of the lease. To an engine that ignores it,
//! nothing is sent until the longest order of the holder before has ended, and its
//! report is read more often, so that a late order is soon set right.

mod message;
mod progress;
mod state;
mod task;
mod wanted;

pub use self::{
    message::{FencedOrder, Order, Report, VersionState},
    progress::{Orders, Progress},
    state::{decide, Decision, Stop},
    task::drive,
    wanted::Wanted,
};
