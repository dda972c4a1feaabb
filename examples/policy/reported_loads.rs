//! Loads of engines as stewards report them in their replies to requests for grants.

use std::collections::HashMap;

use ebonyspur::{membership::Engine, EngineName};

use super::trace::SECOND;

/// How long a reported load is used.
const MAX_REPORT_AGE: u64 = 5 * SECOND;

/// The loads reported to one router, each with the time of its report.
#[derive(Debug, Default)]
pub struct ReportedLoads(HashMap<EngineName, (u32, u64)>);

impl ReportedLoads {
    /// Stores the load of `engine`, reported at `now`.
    pub fn insert(&mut self, engine: &EngineName, in_flight: u32, now: u64) {
        self.0.insert(engine.clone(), (in_flight, now));
    }

    /// Returns the load of `engine`, or `None` when the last report is too old or missing.
    pub fn get(&self, engine: &Engine, now: u64) -> Option<u32> {
        let (in_flight, reported_at) = self.0.get(&engine.name)?;
        (now - reported_at <= MAX_REPORT_AGE).then_some(*in_flight)
    }
}
