//! Messages of the configuration stream, as JSON records.

use serde::{Deserialize, Serialize};

use super::{Assignment, ConfigState, Model, Pool, Role, Service, StepReport, Team};
use crate::{EngineName, Offset, PoolName, ServiceName, TeamName, UnixMillis, VersionName};

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A confirmed change.
    Change(Change),
    /// A step of a move.
    Step(StepReport),
    /// The state at an offset, so that earlier records may be dropped.
    Checkpoint(Checkpoint),
    /// A record that this program cannot read; it changes nothing at any router.
    #[serde(skip)]
    Unreadable,
}

/// The state before the checkpoint's own record.
///
/// It is void unless its record landed exactly at the state's `applied` offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// State after all records before this one.
    pub state: Box<ConfigState>,
    /// Wall time of the router that wrote it.
    pub at: UnixMillis,
    /// Proof, in hexadecimal digits, that a router of the fleet wrote it.
    pub seal: String,
}

/// A confirmed change, accepted or rejected by the fold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity of the change, chosen by whoever confirms it.
    pub id: String,
    /// Operator who confirmed it.
    pub operator: String,
    /// Wall time of the confirmation.
    pub at: UnixMillis,
    /// Offset up to which the operator had seen the configuration.
    pub base: Offset,
    /// Operations, applied together or not at all.
    pub ops: Vec<Op>,
    /// Keys of what the plan relied on besides the objects of its operations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub relies_on: Vec<String>,
}

impl Change {
    /// Returns the keys of all that this change touches.
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
    /// Moves a team to a version, which serves it once engines have it ready.
    MoveTeam {
        /// Name of the team.
        team: TeamName,
        /// Version that is to serve it.
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
    /// Has the engines of a pool load a version or adapter.
    Load {
        /// Name of the pool.
        pool: PoolName,
        /// What to load.
        version: VersionName,
    },
    /// Has the engines of a pool unload a version or adapter.
    Unload {
        /// Name of the pool.
        pool: PoolName,
        /// What to unload.
        version: VersionName,
    },
    /// Tries again what the engines of a pool could not load.
    Retry {
        /// Name of the pool.
        pool: PoolName,
    },
    /// Spreads the versions of a pool over its engines.
    Spread {
        /// Name of the pool.
        pool: PoolName,
        /// What each engine is to carry.
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
    /// Gives an engine a role.
    SetRole {
        /// Name of the engine.
        engine: EngineName,
        /// Its role from now on.
        role: Role,
    },
}

impl Op {
    /// Returns the key of the object that this operation touches, such as `team/kerb`.
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

    /// Returns the team that this operation touches, if it touches nothing else.
    pub fn team(&self) -> Option<&TeamName> {
        match self {
            Op::PutTeam(Team { name, .. })
            | Op::RemoveTeam { name }
            | Op::MoveTeam { team: name, .. } => Some(name),
            _ => None,
        }
    }
}
