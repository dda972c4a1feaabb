//! Lease tests: the TLA+ specification, schedules of faults, and the life cycle.

mod lifecycle;
mod spec;
mod state_machine;
