//! The fold of the configuration stream.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};

use super::{Change, Model, Op, Pool, Record, Service, Team};
use crate::{
    sync::lock, Category, EngineName, Error, Offset, PoolName, Result, ServiceName, TeamName,
    VersionName,
};

/// The configuration after a prefix of the stream.
///
/// It is a function of the records below [`State::applied`] alone, so two routers
/// with the same `applied` hold the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub applied: Offset,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Models by name.
    pub models: BTreeMap<VersionName, Model>,
    /// Engines that get no new work.
    pub drained: BTreeSet<EngineName>,
    /// Offset of the last accepted change of each object.
    pub touched: BTreeMap<String, Offset>,
}

/// What the fold made of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force.
    Accepted,
    /// The change lost against an earlier one of the named object.
    Rejected {
        /// Key of the object in conflict.
        object: String,
    },
    /// The record changes nothing: a checkpoint, or one unreadable or applied before.
    Unchanged,
}

impl State {
    /// Applies the record at `offset`.
    ///
    /// Records below [`State::applied`] change nothing, which makes a re-read safe.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Outcome {
        if offset < self.applied {
            return Outcome::Unchanged;
        }
        let outcome = match record {
            Record::Change(change) => self.apply_change(offset, change),
            Record::Checkpoint { state } => self.adopt(state),
            Record::Unreadable => Outcome::Unchanged,
        };
        self.applied = self.applied.max(offset.next());
        outcome
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> Outcome {
        if let Some(object) = self.conflict(change) {
            return Outcome::Rejected { object };
        }
        for op in &change.ops {
            self.touched.insert(op.object(), offset);
            self.apply_op(op);
        }
        Outcome::Accepted
    }

    fn conflict(&self, change: &Change) -> Option<String> {
        let objects = change.ops.iter().map(Op::object);
        let newer = |object: &String| self.touched.get(object) >= Some(&change.base);
        objects.into_iter().find(newer)
    }

    fn apply_op(&mut self, op: &Op) {
        match op {
            Op::PutTeam(team) => drop(self.teams.insert(team.name.clone(), team.clone())),
            Op::RemoveTeam { name } => drop(self.teams.remove(name)),
            Op::PutService(svc) => drop(self.services.insert(svc.name.clone(), svc.clone())),
            Op::RemoveService { name } => drop(self.services.remove(name)),
            Op::PutPool(pool) => drop(self.pools.insert(pool.name.clone(), pool.clone())),
            Op::RemovePool { name } => drop(self.pools.remove(name)),
            Op::PutModel(model) => drop(self.models.insert(model.name.clone(), model.clone())),
            Op::RemoveModel { name } => drop(self.models.remove(name)),
            Op::Drain { engine } => drop(self.drained.insert(engine.clone())),
            Op::Undrain { engine } => drop(self.drained.remove(engine)),
        }
    }

    /// Takes over a checkpoint only where it is ahead, so it can never set back the state.
    fn adopt(&mut self, state: &State) -> Outcome {
        if state.applied > self.applied {
            *self = state.clone();
        }
        Outcome::Unchanged
    }

    /// Looks up a team.
    ///
    /// # Errors
    ///
    /// Returns [`Category::NotFound`] for an unknown team.
    pub fn team(&self, name: &TeamName) -> Result<&Team> {
        let missing = || Error::not_run(Category::NotFound, format!("no team {name}"));
        self.teams.get(name).ok_or_else(missing)
    }

    /// Looks up a service.
    ///
    /// # Errors
    ///
    /// Returns [`Category::NotFound`] for an unknown service.
    pub fn service(&self, name: &ServiceName) -> Result<&Service> {
        let missing = || Error::not_run(Category::NotFound, format!("no service {name}"));
        self.services.get(name).ok_or_else(missing)
    }
}

/// The configuration in force, shared by the tasks of a router.
#[derive(Debug, Default)]
pub struct Config {
    current: Mutex<Arc<State>>,
}

impl Config {
    /// Returns the state in force.
    pub fn current(&self) -> Arc<State> {
        lock(&self.current).clone()
    }

    /// Applies records in offset order and returns the state after them.
    pub fn apply(&self, records: &[(Offset, Record)]) -> Arc<State> {
        let mut current = lock(&self.current);
        let state = Arc::make_mut(&mut current);
        for (offset, record) in records {
            let outcome = state.apply(*offset, record);
            log::info!("config offset={offset} outcome={outcome:?}");
        }
        current.clone()
    }
}
