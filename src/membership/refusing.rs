//! Engines that recently refused work and are avoided for a short time, and the choice of
//! engines for a request.

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

/// Time for which an engine is avoided after it refused work.
pub const REFUSAL_COOLDOWN: Duration = Duration::from_secs(1);

/// Engines that refused a connection or a request within [`REFUSAL_COOLDOWN`].
///
/// The instance list lags: a crashed engine stays on it for some seconds.
#[derive(Debug, Default)]
pub struct RefusingEngines {
    engines: Mutex<BTreeMap<EngineName, (Incarnation, Instant)>>,
}

impl RefusingEngines {
    /// Records a failed attempt at `engine`, if the engine refused it.
    ///
    /// Only a failure with the verdict "not run" in [`Category::Unavailable`] is a refusal.
    pub fn record_failure(&self, engine: &Engine, err: &Error, now: Instant) {
        let refused = err.verdict() == Verdict::NotRun && err.classify() == Category::Unavailable;
        if !refused {
            return;
        }
        let mut engines = lock(&self.engines);
        engines.retain(|_, (_, refused_at)| now.since(*refused_at) < REFUSAL_COOLDOWN);
        engines.insert(engine.name.clone(), (engine.incarnation, now));
    }

    /// Returns whether this incarnation of `engine` is to be avoided at `now`.
    pub fn contains(&self, engine: &Engine, now: Instant) -> bool {
        is_among(&self.avoided_at(now), engine)
    }

    /// Returns `engines` without those to avoid, or all of them if none would remain.
    pub fn without_refusing(&self, engines: Vec<Arc<Engine>>, now: Instant) -> Vec<Arc<Engine>> {
        let avoided = self.avoided_at(now);
        let (avoided, usable): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .partition(|engine| is_among(&avoided, engine));
        if usable.is_empty() {
            avoided
        } else {
            usable
        }
    }

    /// Returns the engine incarnations to avoid at `now`.
    fn avoided_at(&self, now: Instant) -> Vec<EngineIncarnation> {
        let engines = lock(&self.engines);
        let recent = engines
            .iter()
            .filter(|(_, (_, refused_at))| now.since(*refused_at) < REFUSAL_COOLDOWN);
        let incarnation =
            |(name, (incarnation, _)): (&EngineName, &_)| (name.clone(), *incarnation);
        recent.map(incarnation).collect()
    }
}

/// An engine's name and one of its incarnations.
type EngineIncarnation = (EngineName, Incarnation);

fn is_among(incarnations: &[EngineIncarnation], engine: &Engine) -> bool {
    incarnations
        .iter()
        .any(|(name, incarnation)| *incarnation == engine.incarnation && *name == engine.name)
}

impl Router {
    /// Returns the engines or plain servers of `pool` that may take new work.
    pub fn open_engines(&self, pool: &PoolName) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let view = self.membership.view();
        let is_open = |engine: &&Arc<Engine>| is_open(&state, engine);
        let open = view.engines(pool).iter().filter(is_open).cloned().collect();
        self.membership
            .refusing_engines
            .without_refusing(open, self.clock.now())
    }

    /// Returns the engines of `pool` that `hint` names and that may run requests of `team`.
    ///
    /// They keep the order of the hint, the newest first, without those in `failed`.
    pub fn hinted_engines(
        &self,
        pool: &PoolName,
        team: &TeamName,
        hint: &Hint,
        failed: &BTreeSet<EngineName>,
    ) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let avoided = self
            .membership
            .refusing_engines
            .avoided_at(self.clock.now());
        let view = self.membership.view();
        let named = hint.entries().iter();
        let named = named.filter_map(|entry| view.hinted_engine(pool, entry));
        let usable = named
            .filter(|engine| may_run(&state, team, failed, engine))
            .filter(|engine| !is_among(&avoided, engine));
        usable.cloned().collect()
    }

    /// Returns the engines of `pool` to try for `chat` of `team`, the best first.
    ///
    /// Engines in `failed` are left out. Those that recently refused work are left out
    /// unless there is no other.
    pub fn candidates(
        &self,
        pool: &PoolName,
        team: &TeamName,
        chat: &ChatId,
        hint: &Hint,
        failed: &BTreeSet<EngineName>,
    ) -> Vec<Arc<Engine>> {
        let state = self.config.current();
        let avoided = self
            .membership
            .refusing_engines
            .avoided_at(self.clock.now());
        let view = self.membership.view();
        let engines = view.engines(pool);
        let open = || {
            let engines = engines.iter();
            engines.filter(|engine| may_run(&state, team, failed, engine))
        };
        let usable = open().filter(|engine| !is_among(&avoided, engine));
        let ranked = placement::preferred_engines(chat.as_str(), hint, usable, MAX_RANKED_ENGINES);
        if ranked.is_empty() && !avoided.is_empty() {
            return placement::preferred_engines(chat.as_str(), hint, open(), MAX_RANKED_ENGINES);
        }
        ranked
    }
}

fn is_open(state: &ConfigState, engine: &Engine) -> bool {
    !engine.leaving && !state.drained.contains(&engine.name)
}

/// Returns whether a request of `team` that failed at the engines in `failed` may run on `engine`.
fn may_run(
    state: &ConfigState,
    team: &TeamName,
    failed: &BTreeSet<EngineName>,
    engine: &Engine,
) -> bool {
    is_open(state, engine) && state.may_serve_team(team, engine) && !failed.contains(&engine.name)
}
