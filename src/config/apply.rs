//! Operations on the objects of a state, each with its inverse.

use std::collections::BTreeMap;

use super::{ConfigState, LoadFailure, Model, Move, Op, Pool, PoolAssignment, Role, Service, Team};
use crate::{PoolName, TeamName, VersionName};

/// Versions that the engines of a pool could not load.
type Halts = BTreeMap<VersionName, LoadFailure>;

/// Number of steps into which 1.0 of a load factor is divided.
const LOAD_FACTOR_STEPS: f64 = 1_000.0;

/// Carries out one operation whose object exists.
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
        Op::PutService(svc) => drop(state.services.insert(svc.name.clone(), svc.clone())),
        Op::RemoveService { name } => drop(state.services.remove(name)),
        Op::PutPool(pool) => {
            let mut pool = pool.clone();
            pool.load_factor = rounded(pool.load_factor);
            state.halts.remove(&pool.name);
            let old = state.pools.get(&pool.name).map(|old| old.versions.clone());
            for version in pool.versions.difference(&old.unwrap_or_default()) {
                state.assign_to_all_engines(&pool.name, version);
            }
            state.pools.insert(pool.name.clone(), pool);
        }
        Op::RemovePool { name } => {
            state.halts.remove(name);
            state.spreads.remove(name);
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
        Op::Retry { pool } => drop(state.halts.remove(pool)),
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

/// Rounds a load factor, so that it is the same after any number of encodings as text.
fn rounded(factor: f64) -> f64 {
    (factor * LOAD_FACTOR_STEPS).round() / LOAD_FACTOR_STEPS
}

/// What an operation changes, as it was before.
pub(super) enum ObjectSnapshot {
    /// An operation that sets the object back.
    Op(Op),
    /// A team, and where it was moving to.
    Team(TeamName, Option<Team>, Option<Move>),
    /// A pool, what it could not load, and how its versions are spread.
    Pool(
        PoolName,
        Option<Pool>,
        Option<Halts>,
        Option<PoolAssignment>,
    ),
}

impl ObjectSnapshot {
    /// Returns what undoes `op` on `state`.
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
                let (pool, halts) = (state.pools.get(name), state.halts.get(name));
                let spread = state.spreads.get(name);
                ObjectSnapshot::Pool(name.clone(), pool.cloned(), halts.cloned(), spread.cloned())
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

    /// Sets `state` back.
    pub(super) fn restore(self, state: &mut ConfigState) {
        match self {
            ObjectSnapshot::Op(op) => apply_op(state, &op),
            ObjectSnapshot::Team(name, team, moving) => {
                set(&mut state.moves, name.clone(), moving);
                set(&mut state.teams, name, team);
            }
            ObjectSnapshot::Pool(name, pool, halts, spread) => {
                set(&mut state.spreads, name.clone(), spread);
                set(&mut state.halts, name.clone(), halts);
                set(&mut state.pools, name, pool);
            }
        }
    }
}

fn set<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => drop(map.insert(key, value)),
        None => drop(map.remove(&key)),
    }
}
