//! Engines that lately refused to take work, which are avoided for a moment.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use super::Engine;
use crate::{
    config::ConfigState,
    placement::{self, Hint, MAX_RANKED_ENGINES},
    sync::lock,
    Category, ChatId, EngineName, Error, Incarnation, Instant, PoolName, Router, TeamName, Verdict,
};

/// How long an engine is avoided after it refused work.
pub const REFUSAL_COOLDOWN: Duration = Duration::from_secs(1);

/// Engines that refused a connection or a request within [`REFUSAL_COOLDOWN`].
///
/// The instance list lags, so a dead engine is still on it for some seconds.
#[derive(Debug, Default)]
pub struct RefusingEngines {
    engines: Mutex<BTreeMap<EngineName, (Incarnation, Instant)>>,
}

impl RefusingEngines {
    /// Notes what came of sending a request to `engine` at `now`.
    pub fn record_failure(&self, engine: &Engine, err: &Error, now: Instant) {
        let refused = err.verdict() == Verdict::NotRun && err.classify() == Category::Unavailable;
        if !refused {
            return;
        }
        let mut engines = lock(&self.engines);
        engines.retain(|_, (_, at)| now.since(*at) < REFUSAL_COOLDOWN);
        engines.insert(engine.name.clone(), (engine.incarnation, now));
    }

    /// Returns whether this life of `engine` is to be avoided at `now`.
    pub fn contains(&self, engine: &Engine, now: Instant) -> bool {
        is_among(&self.at(now), engine)
    }

    /// Drops the engines to avoid from `engines`, unless no other is left.
    pub fn without_refusing(&self, engines: Vec<Arc<Engine>>, now: Instant) -> Vec<Arc<Engine>> {
        let avoided = self.at(now);
        let (avoided, usable): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .partition(|engine| is_among(&avoided, engine));
        if usable.is_empty() {
            avoided
        } else {
            usable
        }
    }

    /// Returns the lives of engines to avoid at `now`.
    fn at(&self, now: Instant) -> Vec<Life> {
        let engines = lock(&self.engines);
        let lately = engines
            .iter()
            .filter(|(_, (_, at))| now.since(*at) < REFUSAL_COOLDOWN);
        let life = |(name, (incarnation, _)): (&EngineName, &_)| (name.clone(), *incarnation);
        lately.map(life).collect()
    }
}

/// One life of an engine.
type Life = (EngineName, Incarnation);

fn is_among(lives: &[Life], engine: &Engine) -> bool {
    lives
        .iter()
        .any(|(name, incarnation)| *incarnation == engine.incarnation && *name == engine.name)
}

impl Router {
    /// Returns the engines or servers of `pool` that may take new work.
    pub fn open_engines(&self, pool: &PoolName) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let view = self.membership.view();
        let is_open = |engine: &&Arc<Engine>| is_open(&state, engine);
        let open = view.engines(pool).iter().filter(is_open).cloned().collect();
        self.membership
            .refusing
            .without_refusing(open, self.clock.now())
    }

    /// Returns the engines of `pool` that `hint` names and that may take new work of
    /// `team`, the newest first, without `failed`.
    pub fn hinted_engines(
        &self,
        pool: &PoolName,
        team: &TeamName,
        hint: &Hint,
        failed: &BTreeSet<EngineName>,
    ) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let avoided = self.membership.refusing.at(self.clock.now());
        let view = self.membership.view();
        let named = hint.entries().iter();
        let named = named.filter_map(|entry| view.hinted_engine(pool, entry));
        let usable = named
            .filter(|engine| may_run(&state, team, failed, engine))
            .filter(|engine| !is_among(&avoided, engine));
        usable.cloned().collect()
    }

    /// Returns the engines of `pool` to try for `chat` of `team`, the best first, without
    /// `failed`.
    ///
    /// Engines that lately refused work are left out, unless there is no other.
    pub fn candidates(
        &self,
        pool: &PoolName,
        team: &TeamName,
        chat: &ChatId,
        hint: &Hint,
        failed: &BTreeSet<EngineName>,
    ) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let avoided = self.membership.refusing.at(self.clock.now());
        let view = self.membership.view();
        let engines = view.engines(pool);
        let open = || {
            let engines = engines.iter();
            engines.filter(|engine| may_run(&state, team, failed, engine))
        };
        let usable = open().filter(|engine| !is_among(&avoided, engine));
        let ranked = placement::preferred(chat.as_str(), hint, usable, MAX_RANKED_ENGINES);
        if ranked.is_empty() && !avoided.is_empty() {
            return placement::preferred(chat.as_str(), hint, open(), MAX_RANKED_ENGINES);
        }
        ranked
    }
}

fn is_open(state: &ConfigState, engine: &Engine) -> bool {
    !engine.leaving && !state.drained.contains(&engine.name)
}

/// Returns whether a request of `team` that has `failed` at some engines may run on this one.
fn may_run(
    state: &ConfigState,
    team: &TeamName,
    failed: &BTreeSet<EngineName>,
    engine: &Engine,
) -> bool {
    is_open(state, engine) && state.serves(team, engine) && !failed.contains(&engine.name)
}
