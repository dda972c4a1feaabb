//! Messages of the configuration stream, as JSON records.

use serde::{Deserialize, Serialize};

use super::{Model, Pool, Service, State, Team};
use crate::{EngineName, Offset, PoolName, ServiceName, TeamName, UnixMillis, VersionName};

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A confirmed change.
    Change(Change),
    /// The state up to an offset, so that earlier records may be dropped.
    Checkpoint {
        /// State after all records below its own `applied` offset.
        state: Box<State>,
    },
    /// A record that this program cannot read; it changes nothing at any router.
    #[serde(skip)]
    Unreadable,
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
}

impl Op {
    /// Returns the key of the object that this operation touches, such as `team/kerb`.
    pub fn object(&self) -> String {
        match self {
            Op::PutTeam(team) => format!("team/{}", team.name),
            Op::RemoveTeam { name } => format!("team/{name}"),
            Op::PutService(service) => format!("service/{}", service.name),
            Op::RemoveService { name } => format!("service/{name}"),
            Op::PutPool(pool) => format!("pool/{}", pool.name),
            Op::RemovePool { name } => format!("pool/{name}"),
            Op::PutModel(model) => format!("model/{}", model.name),
            Op::RemoveModel { name } => format!("model/{name}"),
            Op::Drain { engine } | Op::Undrain { engine } => format!("engine/{engine}"),
        }
    }
}
