//! Operations on the objects of a state, each with its inverse.

use super::{Op, Role, State};

/// Number of steps into which 1.0 of a load factor is divided.
const LOAD_FACTOR_STEPS: f64 = 1_000.0;

/// Carries out one operation whose object exists.
pub(super) fn apply(state: &mut State, op: &Op) {
    match op {
        Op::PutTeam(team) => drop(state.teams.insert(team.name.clone(), team.clone())),
        Op::RemoveTeam { name } => drop(state.teams.remove(name)),
        Op::MoveTeam { team, to } => {
            if let Some(team) = state.teams.get_mut(team) {
                team.version = Some(to.clone());
            }
        }
        Op::PutService(svc) => drop(state.services.insert(svc.name.clone(), svc.clone())),
        Op::RemoveService { name } => drop(state.services.remove(name)),
        Op::PutPool(pool) => {
            let mut pool = pool.clone();
            pool.load_factor = rounded(pool.load_factor);
            state.pools.insert(pool.name.clone(), pool);
        }
        Op::RemovePool { name } => drop(state.pools.remove(name)),
        Op::Load { pool, version } => {
            let pool = state.pools.get_mut(pool);
            pool.map(|pool| pool.versions.insert(version.clone()));
        }
        Op::Unload { pool, version } => {
            let pool = state.pools.get_mut(pool);
            pool.map(|pool| pool.versions.remove(version));
        }
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

/// Returns the operation that undoes `op` on `state`.
pub(super) fn inverse(state: &State, op: &Op) -> Op {
    match op {
        Op::PutTeam(crate::config::Team { name, .. })
        | Op::RemoveTeam { name }
        | Op::MoveTeam { team: name, .. } => match state.teams.get(name) {
            Some(team) => Op::PutTeam(team.clone()),
            None => Op::RemoveTeam { name: name.clone() },
        },
        Op::PutService(crate::config::Service { name, .. }) | Op::RemoveService { name } => {
            match state.services.get(name) {
                Some(service) => Op::PutService(service.clone()),
                None => Op::RemoveService { name: name.clone() },
            }
        }
        Op::PutPool(crate::config::Pool { name, .. })
        | Op::RemovePool { name }
        | Op::Load { pool: name, .. }
        | Op::Unload { pool: name, .. } => match state.pools.get(name) {
            Some(pool) => Op::PutPool(pool.clone()),
            None => Op::RemovePool { name: name.clone() },
        },
        Op::PutModel(crate::config::Model { name, .. }) | Op::RemoveModel { name } => {
            match state.models.get(name) {
                Some(model) => Op::PutModel(model.clone()),
                None => Op::RemoveModel { name: name.clone() },
            }
        }
        Op::Drain { engine } | Op::Undrain { engine } => match state.drained.contains(engine) {
            true => Op::Drain {
                engine: engine.clone(),
            },
            false => Op::Undrain {
                engine: engine.clone(),
            },
        },
        Op::SetRole { engine, .. } => Op::SetRole {
            engine: engine.clone(),
            role: state.roles.get(engine).copied().unwrap_or_default(),
        },
    }
}
