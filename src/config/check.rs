//! Validation of operations: values in range, and references to existing objects.

use super::{ConfigState, Op, Pool, Rejection, Team};
use crate::{ServiceName, TeamName, VersionName};

/// Largest load factor of a pool.
const MAX_LOAD_FACTOR: f64 = 10.0;

/// Largest share of a team.
const MAX_TEAM_SHARE: u32 = 1_000_000;

/// Checks the values of `ops`, and the references in `state` that they could have broken.
///
/// `state` is the state after the operations.
pub(super) fn validate_ops(state: &ConfigState, ops: &[Op]) -> Result<(), Rejection> {
    for op in ops {
        check_values(op)?;
    }
    let touches = |kind: &str| ops.iter().any(|op| op.object().starts_with(kind));
    if touches("pool/") || touches("service/") {
        check_services(state)?;
    }
    if touches("pool/") || touches("model/") {
        check_pools(state)?;
        return check_teams(state, state.teams.values());
    }
    let touched = ops.iter().filter_map(Op::team);
    check_teams(state, touched.filter_map(|name| state.teams.get(name)))
}

/// Checks that the object exists, for an operation that requires it.
pub(super) fn check_exists(state: &ConfigState, op: &Op) -> Result<(), Rejection> {
    let exists = match op {
        Op::RemoveTeam { name } | Op::MoveTeam { team: name, .. } => has_team(state, name),
        Op::RemoveService { name } => has_service(state, name),
        Op::RemovePool { name }
        | Op::Load { pool: name, .. }
        | Op::Unload { pool: name, .. }
        | Op::Retry { pool: name }
        | Op::Spread { pool: name, .. } => state.pools.contains_key(name),
        Op::RemoveModel { name } => state.models.contains_key(name),
        _ => true,
    };
    if exists {
        return Ok(());
    }
    Err(missing(op.object(), "change".into()))
}

fn has_team(state: &ConfigState, name: &TeamName) -> bool {
    state.teams.contains_key(name)
}

fn has_service(state: &ConfigState, name: &ServiceName) -> bool {
    state.services.contains_key(name)
}

fn check_values(op: &Op) -> Result<(), Rejection> {
    let fault = match op {
        Op::PutTeam(Team { share, .. }) if !(1..=MAX_TEAM_SHARE).contains(share) => {
            format!("share must be from 1 to {MAX_TEAM_SHARE}")
        }
        Op::PutPool(pool) if !(pool.load_factor > 1.0 && pool.load_factor <= MAX_LOAD_FACTOR) => {
            format!("load_factor must be above 1 and at most {MAX_LOAD_FACTOR}")
        }
        Op::PutPool(Pool { slots: Some(0), .. }) => "slots must be from 1".into(),
        _ => return Ok(()),
    };
    let object = op.object();
    Err(Rejection::Invalid { object, fault })
}

fn check_services(state: &ConfigState) -> Result<(), Rejection> {
    let lacks_pool = |service: &&super::Service| !state.pools.contains_key(&service.pool);
    match state.services.values().find(lacks_pool) {
        Some(service) => Err(missing(
            format!("pool/{}", service.pool),
            format!("service/{}", service.name),
        )),
        None => Ok(()),
    }
}

fn check_pools(state: &ConfigState) -> Result<(), Rejection> {
    for pool in state.pools.values() {
        for version in &pool.versions {
            if !is_known_version(state, version) {
                let needed_by = format!("pool/{}", pool.name);
                return Err(missing(format!("version/{version}"), needed_by));
            }
        }
    }
    Ok(())
}

fn check_teams<'a>(
    state: &ConfigState,
    teams: impl Iterator<Item = &'a Team>,
) -> Result<(), Rejection> {
    for team in teams {
        let moving = state.moves.get(&team.name);
        let target = moving.map(|moving| &moving.to).or(team.version.as_ref());
        let Some(version) = target else {
            continue;
        };
        if !is_loaded_version(state, version) {
            let needed_by = format!("team/{}", team.name);
            return Err(missing(format!("loaded version/{version}"), needed_by));
        }
    }
    Ok(())
}

fn is_known_version(state: &ConfigState, version: &VersionName) -> bool {
    state
        .models
        .values()
        .any(|model| model.includes_version(version))
}

fn is_loaded_version(state: &ConfigState, version: &VersionName) -> bool {
    let loads = |pool: &Pool| pool.versions.contains(version);
    state.pools.values().any(loads)
}

fn missing(object: String, needed_by: String) -> Rejection {
    Rejection::Missing { object, needed_by }
}
