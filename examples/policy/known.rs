//! Loads of engines as their stewards last reported them with a reply.

use std::collections::HashMap;

use ebonyspur::{membership::Engine, EngineName};

use super::trace::SECOND;

/// How long a load is used after it has been heard.
const VALIDITY: u64 = 5 * SECOND;

/// The loads that one router knows.
#[derive(Debug, Default)]
pub struct KnownLoads(HashMap<EngineName, (u32, u64)>);

impl KnownLoads {
    /// Notes the load of `engine`.
    pub fn note(&mut self, engine: &EngineName, in_flight: u32, now: u64) {
        self.0.insert(engine.clone(), (in_flight, now));
    }

    /// Returns the load of `engine`, or `None` when none was heard lately.
    pub fn get(&self, engine: &Engine, now: u64) -> Option<u32> {
        let (in_flight, heard) = self.0.get(&engine.name)?;
        (now - heard <= VALIDITY).then_some(*in_flight)
    }
}
