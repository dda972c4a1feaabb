//! The fold of the configuration stream.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    apply, check, ApplyOutcome, Change, Checkpoint, Decision, LoadFailure, Model, Move, Op, Pool,
    PoolAssignment, Record, Rejection, Role, Service, Team,
};
use crate::{
    id::check_name, Category, EngineName, Error, Offset, PoolName, Result, ServiceName, TeamName,
    UnixMillis, VersionName, MAX_NAME_LEN,
};

/// Number of records for which decisions and the offsets of modified objects are kept.
///
/// A change whose base is older is rejected, so a pruned entry cannot hide a conflict.
pub const DECISION_WINDOW_RECORDS: u64 = 1_024;

/// Longest key of an object, in bytes: a kind, a slash and a name.
const MAX_KEY_BYTES: usize = 32 + MAX_NAME_LEN;

/// Records between two removals of the entries outside [`DECISION_WINDOW_RECORDS`].
const PRUNE_PERIOD_RECORDS: u64 = 64;

/// The configuration after a prefix of the stream.
///
/// The state is a pure function of the records below [`ConfigState::applied`], so two routers
/// with the same `applied` hold the same state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
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
    /// Moves in progress, by team.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub moves: BTreeMap<TeamName, Move>,
    /// Load failures, by pool and version.
    #[serde(rename = "halts", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub load_failures: BTreeMap<PoolName, BTreeMap<VersionName, LoadFailure>>,
    /// Assignments of versions to engines, by pool.
    #[serde(
        rename = "spreads",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub assignments: BTreeMap<PoolName, PoolAssignment>,
    /// Highest fencing number of the accepted step reports, by pool.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fences: BTreeMap<PoolName, Offset>,
    /// Engines that operators have drained, which get no new work.
    pub drained: BTreeSet<EngineName>,
    /// Roles of the engines whose role differs from the default.
    pub roles: BTreeMap<EngineName, Role>,
    /// Offset of the last accepted change of each object, within [`DECISION_WINDOW_RECORDS`].
    pub touched: BTreeMap<String, Offset>,
    /// Decided changes in offset order, within [`DECISION_WINDOW_RECORDS`].
    pub decided: VecDeque<Decision>,
    /// The last checkpoint that equalled the state at its offset.
    pub checkpoint: Option<CheckpointInfo>,
}

/// Offset and time of a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointInfo {
    /// Offset of the checkpoint's record.
    pub offset: Offset,
    /// Wall time of the router that wrote it.
    pub at: UnixMillis,
}

impl ConfigState {
    /// Applies the record at `offset`.
    ///
    /// Records below [`ConfigState::applied`] change nothing, which makes a re-read safe, and
    /// neither does a record after a gap.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> ApplyOutcome {
        if offset < self.applied {
            return ApplyOutcome::Unchanged;
        }
        if offset > self.applied {
            return ApplyOutcome::Gap;
        }
        let outcome = match record {
            Record::Change(change) => self.apply_change(offset, change),
            Record::Step(step) => self.apply_step(offset, step),
            Record::Checkpoint(checkpoint) => self.verify_checkpoint(offset, checkpoint),
            Record::Unreadable => ApplyOutcome::Unchanged,
        };
        self.applied = offset.next();
        self.prune();
        outcome
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> ApplyOutcome {
        if let Err(rejection) = check_id_and_operator(change) {
            return ApplyOutcome::Rejected(rejection);
        }
        if let Some(first) = self.decision(&change.id) {
            return ApplyOutcome::Repeated(first.offset);
        }
        let rejection = self.try_change(offset, change).err();
        self.decided.push_back(Decision {
            offset,
            id: change.id.clone(),
            operator: change.operator.clone(),
            at: change.at,
            objects: change.objects().collect(),
            rejection: rejection.clone(),
            note: None,
        });
        rejection.map_or(ApplyOutcome::Accepted, ApplyOutcome::Rejected)
    }

    fn try_change(
        &mut self,
        offset: Offset,
        change: &Change,
    ) -> std::result::Result<(), Rejection> {
        check_envelope(offset, change)?;
        self.check_conflicts(change)?;
        self.apply_ops(&change.ops)?;
        for object in change.objects() {
            self.touched.insert(object, offset);
        }
        Ok(())
    }

    fn check_conflicts(&self, change: &Change) -> std::result::Result<(), Rejection> {
        for object in change.objects() {
            match self.touched.get(&object) {
                Some(&offset) if offset >= change.base => {
                    return Err(Rejection::Conflict { object, offset });
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Applies all of `ops`, or none of them when the resulting state would be inconsistent.
    ///
    /// # Errors
    ///
    /// Returns the missing object or the invalid value.
    pub fn apply_ops(&mut self, ops: &[Op]) -> std::result::Result<(), Rejection> {
        let mut snapshots = Vec::with_capacity(ops.len());
        let mut result = Ok(());
        for op in ops {
            result = check::check_exists(self, op);
            if result.is_err() {
                break;
            }
            snapshots.push(apply::ObjectSnapshot::new(self, op));
            apply::apply_op(self, op);
        }
        let result = result.and_then(|()| check::validate_ops(self, ops));
        if result.is_err() {
            let snapshots = snapshots.into_iter().rev();
            snapshots.for_each(|snapshot| snapshot.restore(self));
        }
        result
    }

    /// Compares a checkpoint with this state, and records it when both are equal.
    ///
    /// The content of the checkpoint is never adopted here.
    fn verify_checkpoint(&mut self, offset: Offset, checkpoint: &Checkpoint) -> ApplyOutcome {
        if checkpoint.state.applied != offset || *checkpoint.state != *self {
            return ApplyOutcome::VoidCheckpoint;
        }
        let at = checkpoint.at;
        self.checkpoint = Some(CheckpointInfo { offset, at });
        ApplyOutcome::Checkpointed
    }

    fn prune(&mut self) {
        if !self.applied.0.is_multiple_of(PRUNE_PERIOD_RECORDS) {
            return;
        }
        let oldest = Offset(self.applied.0.saturating_sub(DECISION_WINDOW_RECORDS));
        self.touched.retain(|_, offset| *offset >= oldest);
        let first_kept = self
            .decided
            .partition_point(|decision| decision.offset < oldest);
        self.decided.drain(..first_kept);
    }

    /// Returns the decision about the change `id`, if it is within the window.
    pub fn decision(&self, id: &str) -> Option<&Decision> {
        self.decided.iter().rev().find(|decision| decision.id == id)
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

/// Checks that the id and the operator of a change are valid names.
///
/// A change that fails this check gets no entry in the history, so that an overlong id or
/// operator cannot enlarge the history.
fn check_id_and_operator(change: &Change) -> std::result::Result<(), Rejection> {
    if check_name(&change.id).is_ok() && check_name(&change.operator).is_ok() {
        return Ok(());
    }
    Err(invalid_change("id and operator must be names"))
}

/// Checks the base, the number of operations and the keys of a change.
fn check_envelope(offset: Offset, change: &Change) -> std::result::Result<(), Rejection> {
    let base = change.base;
    if base > offset {
        return Err(Rejection::BaseAhead { base });
    }
    if base.0 + DECISION_WINDOW_RECORDS < offset.0 {
        return Err(Rejection::Stale { base });
    }
    if change.ops.is_empty() {
        return Err(invalid_change("a change needs an operation"));
    }
    if change.relies_on.iter().any(|key| key.len() > MAX_KEY_BYTES) {
        return Err(invalid_change("a key is too long"));
    }
    Ok(())
}

fn invalid_change(fault: &str) -> Rejection {
    let (object, fault) = ("change".into(), fault.into());
    Rejection::Invalid { object, fault }
}
