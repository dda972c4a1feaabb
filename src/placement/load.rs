//! What a router knows of the load of engines that it does not count itself.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{membership::Engine, sync::lock, EngineName, Instant};

/// How long a load is used after it has been heard.
pub const LOAD_VALIDITY: Duration = Duration::from_secs(5);

/// Most engines remembered; the table starts anew when it is full.
const MAX_ENGINES: usize = 4_096;

/// Loads of engines as their stewards last reported them with a reply.
#[derive(Debug, Default)]
pub struct KnownLoads {
    loads: Mutex<Loads>,
}

/// The table of a [`KnownLoads`], locked.
#[derive(Debug, Default)]
pub struct Loads(HashMap<EngineName, (u32, Instant)>);

impl KnownLoads {
    /// Locks the table for a short, await-free use.
    pub fn lock(&self) -> MutexGuard<'_, Loads> {
        lock(&self.loads)
    }
}

impl Loads {
    /// Notes the load of `engine` that a steward reported.
    pub fn note(&mut self, engine: &EngineName, in_flight: u32, now: Instant) {
        if self.0.len() >= MAX_ENGINES {
            self.0.clear();
        }
        self.0.insert(engine.clone(), (in_flight, now));
    }

    /// Returns the load of `engine`, or `None` when none was heard lately.
    pub fn get(&self, engine: &Engine, now: Instant) -> Option<u32> {
        let (in_flight, heard) = self.0.get(&engine.name)?;
        (now.since(*heard) <= LOAD_VALIDITY).then_some(*in_flight)
    }
}
