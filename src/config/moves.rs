//! Teams on their way to another version, and the steps that their drivers report.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{ApplyOutcome, ConfigState, Decision, Team, DECISION_WINDOW_RECORDS};
use crate::{EngineName, Offset, PoolName, RouterName, TeamName, UnixMillis, VersionName};

/// Longest reason of a failed step, in bytes.
pub const MAX_REASON_LEN: usize = 256;

/// A team on its way to another version; until it shifts, its old version serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Version that is to serve the team.
    pub to: VersionName,
    /// Offset of the change that began the move.
    pub since: Offset,
    /// Pools whose engines have the version ready.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub ready: BTreeSet<PoolName>,
}

/// A version that a pool's engines could not load, which stops its moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFailure {
    /// Engine on which the load failed.
    pub engine: EngineName,
    /// Why, in the engine's words.
    pub reason: String,
}

/// A step of a move, as the holder of the pool's lease reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Pool whose engines were looked at.
    pub pool: PoolName,
    /// What has come of the step.
    pub result: StepOutcome,
    /// Router that drives the pool.
    pub router: RouterName,
    /// Wall time of the report.
    pub at: UnixMillis,
    /// Offset up to which the driver had seen the configuration.
    pub base: Offset,
    /// Fencing number of the driver's lease.
    pub fence: Offset,
}

/// What has come of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// Enough engines of the pool have the version ready.
    Warm(VersionName),
    /// An engine could not load the version, however often it tried.
    Failed(VersionName, LoadFailure),
    /// The engines have ready what they are to carry.
    Spread,
}

impl ConfigState {
    /// Returns `team` as operators want it: at the version that it moves to, if any.
    pub fn desired_team(&self, name: &TeamName) -> Option<Team> {
        let mut team = self.teams.get(name)?.clone();
        if let Some(moving) = self.moves.get(name) {
            team.version = Some(moving.to.clone());
        }
        Some(team)
    }

    /// Returns the pools that must have the version of `moving` ready before its team shifts.
    pub fn required_pools<'a>(&'a self, moving: &'a Move) -> impl Iterator<Item = &'a PoolName> {
        let loads = |pool: &&super::Pool| pool.versions.contains(&moving.to);
        self.pools.values().filter(loads).map(|pool| &pool.name)
    }

    /// Returns whether the team of `moving` may shift.
    pub fn is_ready_to_switch(&self, moving: &Move) -> bool {
        let mut pools = self.required_pools(moving);
        pools.all(|pool| moving.ready.contains(pool))
    }

    /// Puts a team; one that exists keeps its version until the new one is ready.
    pub(super) fn put_team(&mut self, team: &Team) {
        let mut team = team.clone();
        let old = self.teams.get(&team.name);
        match (old.map(|old| &old.version), &team.version) {
            (Some(old), Some(to)) if old.as_ref() != Some(to) => {
                let (old, to) = (old.clone(), to.clone());
                self.begin_move(&team.name, to);
                team.version = old;
            }
            _ => drop(self.moves.remove(&team.name)),
        }
        self.teams.insert(team.name.clone(), team);
    }

    fn begin_move(&mut self, team: &TeamName, to: VersionName) {
        if self.moves.get(team).is_some_and(|moving| moving.to == to) {
            return;
        }
        let moving = Move {
            to,
            since: self.applied,
            ready: BTreeSet::new(),
        };
        self.moves.insert(team.clone(), moving);
    }

    /// Applies a step; one that is late, repeated or of an earlier holder is void.
    pub(super) fn apply_step(&mut self, offset: Offset, step: &StepReport) -> ApplyOutcome {
        if !self.counts(offset, step) {
            return ApplyOutcome::VoidStep;
        }
        let taken = match &step.result {
            StepOutcome::Warm(version) => self.pool_is_warm(offset, step, version),
            StepOutcome::Failed(version, halt) => self.halt(step, version, halt),
            StepOutcome::Spread => self
                .complete_rebalance(&step.pool)
                .map(|note| (Vec::new(), note)),
        };
        let Some((teams, note)) = taken else {
            return ApplyOutcome::VoidStep;
        };
        self.fences.insert(step.pool.clone(), step.fence);
        let objects = teams.iter().map(|team| format!("team/{team}"));
        self.decided.push_back(Decision {
            offset,
            id: format!("step-{offset}"),
            operator: step.router.to_string(),
            at: step.at,
            objects: objects.chain([format!("pool/{}", step.pool)]).collect(),
            rejection: None,
            note: Some(note),
        });
        ApplyOutcome::Accepted
    }

    fn counts(&self, offset: Offset, step: &StepReport) -> bool {
        let is_recent = step.base <= offset && offset.0 <= step.base.0 + DECISION_WINDOW_RECORDS;
        let pool = self.pools.get(&step.pool);
        let is_wanted = pool.is_some_and(|pool| match &step.result {
            StepOutcome::Warm(version) | StepOutcome::Failed(version, _) => {
                pool.versions.contains(version)
            }
            StepOutcome::Spread => true,
        });
        let changed = self.touched.get(&format!("pool/{}", step.pool));
        let has_seen_change = changed.is_none_or(|changed| *changed < step.base);
        let newest = self.fences.get(&step.pool);
        let is_fenced = newest.is_none_or(|newest| step.fence >= *newest);
        is_recent && is_wanted && has_seen_change && is_fenced
    }

    /// Shifts the teams whose pools are all ready; returns them, and what was done.
    fn pool_is_warm(
        &mut self,
        offset: Offset,
        step: &StepReport,
        version: &VersionName,
    ) -> Option<(Vec<TeamName>, String)> {
        let mut is_news = self.clear_load_failure(&step.pool, version);
        for moving in self.moves.values_mut() {
            if moving.to == *version && moving.since < step.base {
                is_news |= moving.ready.insert(step.pool.clone());
            }
        }
        let due = self.moves.iter().filter(|(_, moving)| {
            moving.to == *version && moving.since < step.base && self.is_ready_to_switch(moving)
        });
        let due: Vec<_> = due.map(|(team, _)| team.clone()).collect();
        for name in &due {
            self.shift(offset, name);
        }
        let pool = &step.pool;
        let note = match due.len() {
            0 => format!("{version} is ready in pool {pool}"),
            _ => format!("shifted to {version}"),
        };
        (is_news || !due.is_empty()).then_some((due, note))
    }

    /// Forgets that the engines of `pool` could not load `version`; returns whether they
    /// could not.
    pub(super) fn clear_load_failure(&mut self, pool: &PoolName, version: &VersionName) -> bool {
        let Some(halts) = self.halts.get_mut(pool) else {
            return false;
        };
        let was_halted = halts.remove(version).is_some();
        if halts.is_empty() {
            self.halts.remove(pool);
        }
        was_halted
    }

    fn shift(&mut self, offset: Offset, name: &TeamName) {
        let moving = self.moves.remove(name);
        if let Some(team) = self.teams.get_mut(name) {
            team.version = moving.map(|moving| moving.to);
        }
        self.touched.insert(format!("team/{name}"), offset);
    }

    fn halt(
        &mut self,
        step: &StepReport,
        version: &VersionName,
        halt: &LoadFailure,
    ) -> Option<(Vec<TeamName>, String)> {
        let halts = self.halts.get(&step.pool);
        let is_halted = halts.is_some_and(|halts| halts.contains_key(version));
        if halt.reason.len() > MAX_REASON_LEN || is_halted {
            return None;
        }
        let halts = self.halts.entry(step.pool.clone()).or_default();
        halts.insert(version.clone(), halt.clone());
        let (engine, reason) = (&halt.engine, &halt.reason);
        let note = format!("stopped: {engine} could not load {version}: {reason}");
        let moves = self.moves.iter();
        let stopped = moves.filter(|(_, moving)| moving.to == *version);
        Some((stopped.map(|(team, _)| team.clone()).collect(), note))
    }
}
