//! Records of the configuration stream, which are stored as JSON.

use serde::{Deserialize, Serialize};

use super::{Assignment, ConfigState, Model, Pool, Role, Service, StepReport, Team};
use crate::{EngineName, Offset, PoolName, ServiceName, TeamName, UnixMillis, VersionName};

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A change that an operator confirmed.
    Change(Change),
    /// The outcome of a step of a move or of a rebalance.
    Step(StepReport),
    /// The state at an offset, which makes the earlier records unnecessary.
    Checkpoint(Checkpoint),
    /// A record that this version of the router cannot decode; it has no effect.
    #[serde(skip)]
    Unreadable,
}

/// A copy of the state before the checkpoint's own record.
///
/// A checkpoint is void unless its record is at the state's `applied` offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// State after all records before this one.
    pub state: Box<ConfigState>,
    /// Wall time of the router that wrote the checkpoint.
    pub at: UnixMillis,
    /// Authentication tag by a router of the fleet, in hexadecimal digits.
    pub seal: String,
}

/// A confirmed change, which each router accepts or rejects alike when it applies it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change, which makes repeated appends idempotent.
    pub id: String,
    /// Operator who confirmed the change.
    pub operator: String,
    /// Wall time of the confirmation.
    pub at: UnixMillis,
    /// Offset of the configuration on which the plan was made, for conflict detection.
    pub base: Offset,
    /// Operations, which are applied atomically.
    pub ops: Vec<Op>,
    /// Further keys for conflict detection, besides the objects of the operations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub relies_on: Vec<String>,
}

impl Change {
    /// Returns the keys of the objects that this change modifies or relies on.
    pub fn objects(&self) -> impl Iterator<Item = String> + '_ {
        let objects = self.ops.iter().map(Op::object);
        objects.chain(self.relies_on.iter().cloned())
    }
}

/// One operation on one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Op {
    /// Creates or replaces a team.
    PutTeam(Team),
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        name: TeamName,
    },
    /// Moves a team to a version, which serves the team once the engines have it ready.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that serves the team after the move.
        to: VersionName,
    },
    /// Creates or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: ServiceName,
    },
    /// Creates or replaces a pool.
    PutPool(Pool),
    /// Removes a pool.
    RemovePool {
        /// Name of the pool.
        name: PoolName,
    },
    /// Loads a version or adapter on the engines of a pool.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to load.
        version: VersionName,
    },
    /// Unloads a version or adapter from the engines of a pool.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// Version or adapter to unload.
        version: VersionName,
    },
    /// Clears the load failures of a pool, so that its engines retry the loads.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Assigns the versions of a pool to its engines.
    Spread {
        /// Name of the pool.
        pool: PoolName,
        /// Desired assignment of versions to engines.
        engines: Assignment,
    },
    /// Creates or replaces a model.
    PutModel(Model),
    /// Removes a model.
    RemoveModel {
        /// Name of the model.
        name: VersionName,
    },
    /// Stops new work for an engine.
    Drain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Allows new work for a drained engine.
    Undrain {
        /// Name of the engine.
        engine: EngineName,
    },
    /// Changes the role of an engine.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// New role of the engine.
        role: Role,
    },
}

impl Op {
    /// Returns the key of the object that this operation modifies, such as `team/kerb`.
    pub fn object(&self) -> String {
        match self {
            Op::PutTeam(Team { name, .. })
            | Op::RemoveTeam { name }
            | Op::MoveTeam { team: name, .. } => format!("team/{name}"),
            Op::PutService(Service { name, .. }) | Op::RemoveService { name } => {
                format!("service/{name}")
            }
            Op::PutPool(Pool { name, .. })
            | Op::RemovePool { name }
            | Op::Load { pool: name, .. }
            | Op::Unload { pool: name, .. }
            | Op::Retry { pool: name }
            | Op::Spread { pool: name, .. } => format!("pool/{name}"),
            Op::PutModel(Model { name, .. }) | Op::RemoveModel { name } => format!("model/{name}"),
            Op::Drain { engine } | Op::Undrain { engine } | Op::SetRole { engine, .. } => {
                format!("engine/{engine}")
            }
        }
    }

    /// Returns the team that this operation modifies, if it modifies no other kind of object.
    pub fn team(&self) -> Option<&TeamName> {
        match self {
            Op::PutTeam(Team { name, .. })
            | Op::RemoveTeam { name }
            | Op::MoveTeam { team: name, .. } => Some(name),
            _ => None,
        }
    }
}
