//! Moves of teams to another version, and the step reports that advance them.
//!
//! The holder of a pool's lease drives the moves of the pool: it orders the engines to load
//! the version and appends a [`StepReport`] with the outcome to the configuration stream.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{ApplyOutcome, ConfigState, Decision, Team, DECISION_WINDOW_RECORDS};
use crate::{EngineName, Offset, PoolName, RouterName, TeamName, UnixMillis, VersionName};

/// Longest reason of a load failure that the fold accepts, in bytes.
pub const MAX_REASON_LEN: usize = 256;

/// The move of a team to another version; the old version serves the team until the switch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Version that serves the team after the move.
    pub to: VersionName,
    /// Offset of the change that started the move.
    pub since: Offset,
    /// Pools whose engines have the version ready.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub ready: BTreeSet<PoolName>,
}

/// A failure of a pool's engines to load a version, which stops the moves to that version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadFailure {
    /// Name of the engine that failed to load the version.
    pub engine: EngineName,
    /// Cause of the failure, as the engine reported it.
    pub reason: String,
}

/// Report of the holder of a pool's lease on a step of a move or of a rebalance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Pool whose engines the step concerns.
    pub pool: PoolName,
    /// Outcome of the step.
    pub result: StepOutcome,
    /// Router that holds the pool's lease.
    pub router: RouterName,
    /// Wall time of the report.
    pub at: UnixMillis,
    /// Offset up to which the lease holder had applied the configuration.
    pub base: Offset,
    /// Fencing number of the lease.
    pub fence: Offset,
}

/// Outcome of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// Enough engines of the pool have the version ready.
    Warm(VersionName),
    /// An engine failed to load the version, after all its retries.
    Failed(VersionName, LoadFailure),
    /// All engines of the pool have the versions of the next assignment ready.
    Spread,
}

impl ConfigState {
    /// Returns the team `name` as operators want it: with the version that it moves to, if any.
    pub fn desired_team(&self, name: &TeamName) -> Option<Team> {
        let mut team = self.teams.get(name)?.clone();
        if let Some(moving) = self.moves.get(name) {
            team.version = Some(moving.to.clone());
        }
        Some(team)
    }

    /// Returns the pools that must have the version of `moving` ready before its team switches.
    pub fn required_pools<'a>(&'a self, moving: &'a Move) -> impl Iterator<Item = &'a PoolName> {
        let loads = |pool: &&super::Pool| pool.versions.contains(&moving.to);
        self.pools.values().filter(loads).map(|pool| &pool.name)
    }

    /// Returns whether all required pools are ready, so that the team of `moving` may switch.
    pub fn is_ready_to_switch(&self, moving: &Move) -> bool {
        let mut pools = self.required_pools(moving);
        pools.all(|pool| moving.ready.contains(pool))
    }

    /// Creates or replaces a team; an existing team keeps its version until the new one is ready.
    pub(super) fn put_team(&mut self, team: &Team) {
        let mut team = team.clone();
        let old = self.teams.get(&team.name);
        match (old.map(|old| &old.version), &team.version) {
            (Some(old), Some(to)) if old.as_ref() != Some(to) => {
                let (old, to) = (old.clone(), to.clone());
                self.start_move(&team.name, to);
                team.version = old;
            }
            _ => drop(self.moves.remove(&team.name)),
        }
        self.teams.insert(team.name.clone(), team);
    }

    fn start_move(&mut self, team: &TeamName, to: VersionName) {
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

    /// Applies a step report.
    ///
    /// A report is void when it is outdated, repeated or from an earlier lease holder.
    pub(super) fn apply_step(&mut self, offset: Offset, step: &StepReport) -> ApplyOutcome {
        if !self.is_current_step(offset, step) {
            return ApplyOutcome::VoidStep;
        }
        let effect = match &step.result {
            StepOutcome::Warm(version) => self.mark_pool_ready(offset, step, version),
            StepOutcome::Failed(version, failure) => {
                self.record_load_failure(step, version, failure)
            }
            StepOutcome::Spread => self
                .complete_rebalance(&step.pool)
                .map(|note| (Vec::new(), note)),
        };
        let Some((teams, note)) = effect else {
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

    /// Returns whether the report rests on the current pool, lease holder and versions.
    fn is_current_step(&self, offset: Offset, step: &StepReport) -> bool {
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

    /// Marks the pool of `step` as ready and switches the teams whose pools are all ready.
    ///
    /// Returns the switched teams and a note for the decision, or `None` when nothing changed.
    fn mark_pool_ready(
        &mut self,
        offset: Offset,
        step: &StepReport,
        version: &VersionName,
    ) -> Option<(Vec<TeamName>, String)> {
        let mut has_changed = self.clear_load_failure(&step.pool, version);
        for moving in self.moves.values_mut() {
            if moving.to == *version && moving.since < step.base {
                has_changed |= moving.ready.insert(step.pool.clone());
            }
        }
        let ready_teams = self.moves.iter().filter(|(_, moving)| {
            moving.to == *version && moving.since < step.base && self.is_ready_to_switch(moving)
        });
        let ready_teams: Vec<_> = ready_teams.map(|(team, _)| team.clone()).collect();
        for name in &ready_teams {
            self.switch_team(offset, name);
        }
        let pool = &step.pool;
        let note = match ready_teams.len() {
            0 => format!("{version} is ready in pool {pool}"),
            _ => format!("shifted to {version}"),
        };
        (has_changed || !ready_teams.is_empty()).then_some((ready_teams, note))
    }

    /// Removes the load failure of `version` in `pool`; returns whether there was one.
    pub(super) fn clear_load_failure(&mut self, pool: &PoolName, version: &VersionName) -> bool {
        let Some(failures) = self.load_failures.get_mut(pool) else {
            return false;
        };
        let had_failed = failures.remove(version).is_some();
        if failures.is_empty() {
            self.load_failures.remove(pool);
        }
        had_failed
    }

    fn switch_team(&mut self, offset: Offset, name: &TeamName) {
        let moving = self.moves.remove(name);
        if let Some(team) = self.teams.get_mut(name) {
            team.version = moving.map(|moving| moving.to);
        }
        self.touched.insert(format!("team/{name}"), offset);
    }

    /// Records the load failure of a step, which stops the moves to `version`.
    ///
    /// Returns the stopped teams and a note for the decision, or `None` when a failure of
    /// the version is recorded already or the reason is too long.
    fn record_load_failure(
        &mut self,
        step: &StepReport,
        version: &VersionName,
        failure: &LoadFailure,
    ) -> Option<(Vec<TeamName>, String)> {
        let failures = self.load_failures.get(&step.pool);
        let is_recorded = failures.is_some_and(|failures| failures.contains_key(version));
        if failure.reason.len() > MAX_REASON_LEN || is_recorded {
            return None;
        }
        let failures = self.load_failures.entry(step.pool.clone()).or_default();
        failures.insert(version.clone(), failure.clone());
        let (engine, reason) = (&failure.engine, &failure.reason);
        let note = format!("stopped: {engine} could not load {version}: {reason}");
        let moves = self.moves.iter();
        let stopped = moves.filter(|(_, moving)| moving.to == *version);
        Some((stopped.map(|(team, _)| team.clone()).collect(), note))
    }
}
