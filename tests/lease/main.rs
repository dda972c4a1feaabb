//! The lease: its specification, its decisions under faults, its life cycle.

mod life;
mod spec;
mod state_machine;
