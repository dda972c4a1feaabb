//! Engines that lately refused to take work, which are avoided for a moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use super::Engine;
use crate::{
    sync::lock, Category, EngineName, Error, Incarnation, Instant, PoolName, Router, Verdict,
};

/// How long an engine is avoided after it refused work.
pub const AVOIDANCE: Duration = Duration::from_secs(1);

/// Engines that refused a connection or a request within [`AVOIDANCE`].
///
/// The instance list lags, so a dead engine is still on it for some seconds.
#[derive(Debug, Default)]
pub struct Refusing {
    engines: Mutex<BTreeMap<EngineName, (Incarnation, Instant)>>,
}

impl Refusing {
    /// Notes what came of sending a request to `engine` at `now`.
    pub fn note_failure(&self, engine: &Engine, err: &Error, now: Instant) {
        let refused = err.verdict() == Verdict::NotRun && err.classify() == Category::Unavailable;
        if !refused {
            return;
        }
        let mut engines = lock(&self.engines);
        engines.retain(|_, (_, at)| now.since(*at) < AVOIDANCE);
        engines.insert(engine.name.clone(), (engine.incarnation, now));
    }

    /// Returns whether this life of `engine` is to be avoided at `now`.
    pub fn contains(&self, engine: &Engine, now: Instant) -> bool {
        let engines = lock(&self.engines);
        let noted = engines.get(&engine.name);
        noted.is_some_and(|(incarnation, at)| {
            *incarnation == engine.incarnation && now.since(*at) < AVOIDANCE
        })
    }

    /// Drops the engines to avoid from `engines`, unless no other is left.
    pub fn avoid(&self, engines: Vec<Arc<Engine>>, now: Instant) -> Vec<Arc<Engine>> {
        let (avoided, usable): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .partition(|engine| self.contains(engine, now));
        if usable.is_empty() {
            avoided
        } else {
            usable
        }
    }
}

impl Router {
    /// Returns the engines or servers of `pool` that may take new work, without `failed`.
    pub fn open_engines(&self, pool: &PoolName, failed: &BTreeSet<EngineName>) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let view = self.membership.view();
        let is_open = |engine: &&Arc<Engine>| {
            let shut = engine.leaving || state.drained.contains(&engine.name);
            !shut && !failed.contains(&engine.name)
        };
        let open = view.engines(pool).iter().filter(is_open).cloned().collect();
        self.membership.refusing.avoid(open, self.clock.now())
    }
}
