//! Planning: derives the operations of an intent from the configuration and the fleet.
//!
//! A plan is a pure function of its inputs; making one changes nothing.

use std::collections::BTreeSet;

use super::{
    capacity::pool_capacity_changes, rebalance, ColdChats, Drafted, FleetView, Intent, Plan,
    PlanDocument, PoolCapacity, Step, VersionCapacity,
};
use crate::{
    config::{ConfigState, Model, Op, Pool},
    Category, EngineName, Error, PoolName, Result, TeamName, UnixMillis, VersionName,
};

/// Makes the plan for `intent`, with the given id.
///
/// # Errors
///
/// Returns [`Category::NotFound`] for an unknown engine or team, [`Category::BadInput`]
/// when there is nothing to change, and [`Category::Conflict`] when the result would be
/// inconsistent or would exceed the load bound.
pub fn draft(
    state: &ConfigState,
    fleet: &FleetView,
    intent: &Intent,
    id: &str,
    now: UnixMillis,
) -> Result<Plan<Drafted>> {
    check_targets(state, fleet, intent)?;
    let ops = ops(state, fleet, intent)?;
    let mut after = state.clone();
    after
        .apply_ops(&ops)
        .map_err(|err| refused(err.to_string()))?;
    let has_effect = (&after.teams, &after.services, &after.pools, &after.models)
        != (&state.teams, &state.services, &state.pools, &state.models)
        || (&after.drained, &after.roles) != (&state.drained, &state.roles)
        || (&after.moves, &after.load_failures, &after.assignments)
            != (&state.moves, &state.load_failures, &state.assignments);
    if !has_effect {
        let message = "nothing to change: the configuration already matches the intent";
        return Err(Error::not_run(Category::BadInput, message));
    }
    let capacity = pool_capacity_changes(state, &after, fleet);
    if let Some(reason) = capacity.iter().find_map(PoolCapacity::violation) {
        return Err(refused(reason));
    }
    let versions = rebalance::capacities(state, fleet, &ops);
    if let Some(reason) = versions.iter().find_map(VersionCapacity::violation) {
        return Err(refused(reason));
    }
    let mut cold = cold_chats(state, &after, fleet, &capacity, &ops);
    cold.in_flight += versions
        .iter()
        .map(VersionCapacity::cold_requests)
        .sum::<u32>();
    let rebalance_key = versions
        .first()
        .map(|version| format!("capacity/{}", version.pool));
    Ok(Plan::new(PlanDocument {
        id: id.into(),
        intent: intent.clone(),
        base: state.applied,
        drafted_at: now,
        steps: ops.iter().flat_map(Step::all).collect(),
        relies_on: capacity
            .iter()
            .map(capacity_key)
            .chain(rebalance_key)
            .collect(),
        ops,
        capacity,
        versions,
        cold,
    }))
}

fn refused(reason: String) -> Error {
    Error::not_run(Category::Conflict, reason)
}

/// Returns the key of the capacity of a pool.
///
/// Two concurrent plans that change the capacity of the same pool conflict on this key.
fn capacity_key(capacity: &PoolCapacity) -> String {
    format!("capacity/{}", capacity.pool)
}

fn check_targets(state: &ConfigState, fleet: &FleetView, intent: &Intent) -> Result<()> {
    let missing = |message: String| Err(Error::not_run(Category::NotFound, message));
    match intent {
        Intent::Drain { engine } | Intent::SetRole { engine, .. }
            if !fleet.engines.contains_key(engine) =>
        {
            missing(format!("no engine {engine}"))
        }
        Intent::Undrain { engine } if !state.drained.contains(engine) => {
            missing(format!("engine {engine} is not drained"))
        }
        Intent::MoveTeam { team, .. } => state.team(team).map(drop),
        _ => Ok(()),
    }
}

fn ops(state: &ConfigState, fleet: &FleetView, intent: &Intent) -> Result<Vec<Op>> {
    match intent {
        Intent::Rebalance { pool, copies } => {
            Ok(vec![rebalance::rebalance_op(state, fleet, pool, *copies)?])
        }
        Intent::MoveTeam { team, to } => move_team(state, team, to),
        Intent::Apply { objects } => Ok(objects.ops(state)),
        other => Ok(other.single_op().into_iter().collect()),
    }
}

/// Returns the operations that load `to` in the pools that serve the team, and move the team.
///
/// They also retry failed loads of `to`, and unload the versions that no team needs any more.
fn move_team(state: &ConfigState, team: &TeamName, to: &VersionName) -> Result<Vec<Op>> {
    let from = state.team(team)?.version.as_ref();
    let model = state
        .models
        .values()
        .find(|model| model.includes_version(to));
    let unknown = || Error::not_run(Category::NotFound, format!("no version {to}"));
    let model = model.ok_or_else(unknown)?;
    let serves = |pool: &&Pool| match from {
        Some(from) => pool.versions.contains(from),
        None => loads_any_version(pool, model),
    };
    let mut pools: Vec<_> = state.pools.values().filter(serves).collect();
    if pools.is_empty() {
        pools.extend(
            state
                .pools
                .values()
                .filter(|pool| loads_any_version(pool, model)),
        );
    }
    if pools.is_empty() {
        let message = format!(
            "no pool serves team {team} or model {}; load {to} first",
            model.name
        );
        return Err(refused(message));
    }
    pools.retain(|pool| !pool.versions.contains(to));
    let load = |pool: &Pool| Op::Load {
        pool: pool.name.clone(),
        version: to.clone(),
    };
    let mut ops: Vec<_> = pools.into_iter().map(load).collect();
    ops.extend(retry_ops(state, to));
    ops.push(Op::MoveTeam {
        team: team.clone(),
        to: to.clone(),
    });
    ops.extend(unload_ops(state, team, to));
    Ok(ops)
}

/// Returns a retry for each pool that has a load failure of `version`.
fn retry_ops<'a>(
    state: &'a ConfigState,
    version: &'a VersionName,
) -> impl Iterator<Item = Op> + 'a {
    let failed = state.load_failures.iter();
    let failed = failed.filter(move |(_, failures)| failures.contains_key(version));
    failed.map(|(pool, _)| Op::Retry { pool: pool.clone() })
}

/// Returns an unload for each version that the team leaves and no other team may need.
///
/// A team without a version may need any version.
fn unload_ops(state: &ConfigState, team: &TeamName, to: &VersionName) -> Vec<Op> {
    let current = state.teams.get(team).and_then(|team| team.version.as_ref());
    let next = state.moves.get(team).map(|moving| &moving.to);
    let left = [current, next].into_iter().flatten();
    let left: BTreeSet<_> = left.filter(|version| *version != to).collect();
    let others = state.teams.keys().filter(|other| *other != team);
    let needed: Vec<_> = others.map(|other| target_version(state, other)).collect();
    let is_unneeded = |version: &VersionName| {
        let may_need =
            |needed: &Option<&VersionName>| needed.is_none_or(|needed| needed == version);
        left.contains(version) && !needed.iter().any(may_need)
    };
    let loaded = state.pools.values().flat_map(|pool| {
        let versions = pool.versions.iter();
        versions.map(move |version| (&pool.name, version))
    });
    let loaded = loaded.filter(|(_, version)| is_unneeded(version));
    let unload = |(pool, version): (&PoolName, &VersionName)| Op::Unload {
        pool: pool.clone(),
        version: version.clone(),
    };
    loaded.map(unload).collect()
}

/// Returns the version that `team` moves to, or else its current version.
fn target_version<'a>(state: &'a ConfigState, team: &TeamName) -> Option<&'a VersionName> {
    let current = state.teams.get(team).and_then(|team| team.version.as_ref());
    let next = state.moves.get(team).map(|moving| &moving.to);
    next.or(current)
}

fn loads_any_version(pool: &Pool, model: &Model) -> bool {
    pool.versions
        .iter()
        .any(|version| model.includes_version(version))
}

/// Estimates the chats whose next request finds no cached prompt prefix.
fn cold_chats(
    before: &ConfigState,
    after: &ConfigState,
    fleet: &FleetView,
    capacity: &[PoolCapacity],
    ops: &[Op],
) -> ColdChats {
    let lost = |pool: &PoolCapacity| {
        let engines = pool.engines_before.saturating_sub(pool.engines_after);
        (pool.in_flight * engines).div_ceil(pool.engines_before.max(1))
    };
    let drained: u32 = capacity.iter().map(lost).sum();
    let moved = moved_teams(before, after, ops);
    let local_load = |team: &&TeamName| {
        fleet
            .local_team_loads
            .get(*team)
            .copied()
            .unwrap_or_default()
    };
    let moved: u32 = moved
        .iter()
        .map(|team| local_load(team) * fleet.routers)
        .sum();
    ColdChats {
        in_flight: drained + moved,
        engines: newly_drained(before, after),
        basis: "requests in flight now: of a pool, in proportion to the engines it loses; \
                of a moved team, those at this router times the number of routers. Chats that \
                pause now and return later are not counted"
            .into(),
    }
}

/// Returns the existing teams whose target version the plan changes.
fn moved_teams<'a>(
    before: &ConfigState,
    after: &ConfigState,
    ops: &'a [Op],
) -> BTreeSet<&'a TeamName> {
    let teams = ops.iter().filter_map(Op::team);
    teams
        .filter(|team| before.teams.contains_key(*team))
        .filter(|team| target_version(before, team) != target_version(after, team))
        .collect()
}

fn newly_drained(before: &ConfigState, after: &ConfigState) -> Vec<EngineName> {
    after.drained.difference(&before.drained).cloned().collect()
}
