//! Grants, load bounds and hand-overs of stewards.

mod bound_exceeded;
mod crash_risk;
mod engine_lists;
mod model;
mod slot_demand;
mod support;
mod surge;
mod takeover;
mod waiting_counts;
