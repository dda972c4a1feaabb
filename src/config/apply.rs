//! Application of operations to a state, and snapshots to undo them.

use std::collections::BTreeMap;

use super::{ConfigState, LoadFailure, Model, Move, Op, Pool, PoolAssignment, Role, Service, Team};
use crate::{PoolName, TeamName, VersionName};

/// Load failures of a pool, by version.
type LoadFailures = BTreeMap<VersionName, LoadFailure>;

/// Number of steps per 1.0 to which load factors are rounded.
const LOAD_FACTOR_STEPS: f64 = 1_000.0;

/// Applies one operation, which [`check_exists`](super::check::check_exists) has accepted.
pub(super) fn apply_op(state: &mut ConfigState, op: &Op) {
    match op {
        Op::PutTeam(team) => state.put_team(team),
        Op::RemoveTeam { name } => {
            state.moves.remove(name);
            state.teams.remove(name);
        }
        Op::MoveTeam { team, to } => {
            if let Some(mut team) = state.teams.get(team).cloned() {
                team.version = Some(to.clone());
                state.put_team(&team);
            }
        }
        Op::PutService(service) => {
            drop(state.services.insert(service.name.clone(), service.clone()))
        }
        Op::RemoveService { name } => drop(state.services.remove(name)),
        Op::PutPool(pool) => {
            let mut pool = pool.clone();
            pool.load_factor = round_load_factor(pool.load_factor);
            state.load_failures.remove(&pool.name);
            let old = state.pools.get(&pool.name).map(|old| old.versions.clone());
            for version in pool.versions.difference(&old.unwrap_or_default()) {
                state.assign_to_all_engines(&pool.name, version);
            }
            state.pools.insert(pool.name.clone(), pool);
        }
        Op::RemovePool { name } => {
            state.load_failures.remove(name);
            state.assignments.remove(name);
            state.pools.remove(name);
        }
        Op::Load { pool, version } => {
            state.clear_load_failure(pool, version);
            if state
                .pools
                .get(pool)
                .is_some_and(|pool| !pool.versions.contains(version))
            {
                state.assign_to_all_engines(pool, version);
            }
            let pool = state.pools.get_mut(pool);
            pool.map(|pool| pool.versions.insert(version.clone()));
        }
        Op::Unload { pool, version } => {
            state.clear_load_failure(pool, version);
            let pool = state.pools.get_mut(pool);
            pool.map(|pool| pool.versions.remove(version));
        }
        Op::Spread { pool, engines } => state.set_target_assignment(pool, engines),
        Op::Retry { pool } => drop(state.load_failures.remove(pool)),
        Op::PutModel(model) => drop(state.models.insert(model.name.clone(), model.clone())),
        Op::RemoveModel { name } => drop(state.models.remove(name)),
        Op::Drain { engine } => drop(state.drained.insert(engine.clone())),
        Op::Undrain { engine } => drop(state.drained.remove(engine)),
        Op::SetRole { engine, role } if *role == Role::default() => {
            state.roles.remove(engine);
        }
        Op::SetRole { engine, role } => drop(state.roles.insert(engine.clone(), *role)),
    }
}

/// Rounds a load factor, so that encoding it as text and decoding it preserves the value.
fn round_load_factor(factor: f64) -> f64 {
    (factor * LOAD_FACTOR_STEPS).round() / LOAD_FACTOR_STEPS
}

/// The objects that an operation changes, as they were before it.
pub(super) enum ObjectSnapshot {
    /// An operation that restores the object.
    Op(Op),
    /// A team and its move.
    Team(TeamName, Option<Team>, Option<Move>),
    /// A pool, its load failures and its assignment.
    Pool(
        PoolName,
        Option<Pool>,
        Option<LoadFailures>,
        Option<PoolAssignment>,
    ),
}

impl ObjectSnapshot {
    /// Takes a snapshot of the objects of `state` that `op` changes.
    pub(super) fn new(state: &ConfigState, op: &Op) -> Self {
        match op {
            Op::PutTeam(Team { name, .. })
            | Op::RemoveTeam { name }
            | Op::MoveTeam { team: name, .. } => {
                let (team, moving) = (state.teams.get(name), state.moves.get(name));
                ObjectSnapshot::Team(name.clone(), team.cloned(), moving.cloned())
            }
            Op::PutPool(Pool { name, .. })
            | Op::RemovePool { name }
            | Op::Load { pool: name, .. }
            | Op::Unload { pool: name, .. }
            | Op::Retry { pool: name }
            | Op::Spread { pool: name, .. } => {
                let (pool, failures) = (state.pools.get(name), state.load_failures.get(name));
                let assignment = state.assignments.get(name);
                ObjectSnapshot::Pool(
                    name.clone(),
                    pool.cloned(),
                    failures.cloned(),
                    assignment.cloned(),
                )
            }
            Op::PutService(Service { name, .. }) | Op::RemoveService { name } => {
                ObjectSnapshot::Op(match state.services.get(name) {
                    Some(service) => Op::PutService(service.clone()),
                    None => Op::RemoveService { name: name.clone() },
                })
            }
            Op::PutModel(Model { name, .. }) | Op::RemoveModel { name } => {
                ObjectSnapshot::Op(match state.models.get(name) {
                    Some(model) => Op::PutModel(model.clone()),
                    None => Op::RemoveModel { name: name.clone() },
                })
            }
            Op::Drain { engine } | Op::Undrain { engine } => {
                let engine = engine.clone();
                ObjectSnapshot::Op(match state.drained.contains(&engine) {
                    true => Op::Drain { engine },
                    false => Op::Undrain { engine },
                })
            }
            Op::SetRole { engine, .. } => ObjectSnapshot::Op(Op::SetRole {
                engine: engine.clone(),
                role: state.roles.get(engine).copied().unwrap_or_default(),
            }),
        }
    }

    /// Restores the objects in `state`.
    pub(super) fn restore(self, state: &mut ConfigState) {
        match self {
            ObjectSnapshot::Op(op) => apply_op(state, &op),
            ObjectSnapshot::Team(name, team, moving) => {
                set_or_remove(&mut state.moves, name.clone(), moving);
                set_or_remove(&mut state.teams, name, team);
            }
            ObjectSnapshot::Pool(name, pool, failures, assignment) => {
                set_or_remove(&mut state.assignments, name.clone(), assignment);
                set_or_remove(&mut state.load_failures, name.clone(), failures);
                set_or_remove(&mut state.pools, name, pool);
            }
        }
    }
}

fn set_or_remove<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => drop(map.insert(key, value)),
        None => drop(map.remove(&key)),
    }
}
