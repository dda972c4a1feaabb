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

/// Records over which decisions and touched objects are remembered.
///
/// A change whose base is older is rejected, so nothing that was forgotten can matter.
pub const DECISION_WINDOW_RECORDS: u64 = 1_024;

/// Longest key of an object, in bytes: a kind, a slash and a name.
const MAX_KEY_LEN: usize = 32 + MAX_NAME_LEN;

/// Records between two removals of what is older than [`DECISION_WINDOW_RECORDS`].
const PRUNE_PERIOD: u64 = 64;

/// The configuration after a prefix of the stream.
///
/// It is a function of the records below [`ConfigState::applied`] alone, so two routers
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
    /// Teams on their way to another version.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub moves: BTreeMap<TeamName, Move>,
    /// Versions that could not be loaded, by pool.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub halts: BTreeMap<PoolName, BTreeMap<VersionName, LoadFailure>>,
    /// Pools whose versions are spread over their engines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub spreads: BTreeMap<PoolName, PoolAssignment>,
    /// Highest fencing number of the steps of each pool.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fences: BTreeMap<PoolName, Offset>,
    /// Engines that get no new work.
    pub drained: BTreeSet<EngineName>,
    /// Roles of the engines whose role is not the default one.
    pub roles: BTreeMap<EngineName, Role>,
    /// Offset of the last accepted change of each object, within [`DECISION_WINDOW_RECORDS`].
    pub touched: BTreeMap<String, Offset>,
    /// Decided changes in offset order, within [`DECISION_WINDOW_RECORDS`].
    pub decided: VecDeque<Decision>,
    /// The last checkpoint that agreed with the fold.
    pub checkpoint: Option<CheckpointInfo>,
}

/// Where and when a checkpoint was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointInfo {
    /// Offset of its record.
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
            Record::Checkpoint(checkpoint) => self.compare(offset, checkpoint),
            Record::Unreadable => ApplyOutcome::Unchanged,
        };
        self.applied = offset.next();
        self.prune();
        outcome
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> ApplyOutcome {
        if let Err(rejection) = check_names(change) {
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

    /// Applies all of `ops`, or none of them when the result would not fit together.
    ///
    /// # Errors
    ///
    /// Returns what does not fit.
    pub fn apply_ops(&mut self, ops: &[Op]) -> std::result::Result<(), Rejection> {
        let mut undo = Vec::with_capacity(ops.len());
        let mut fits = Ok(());
        for op in ops {
            fits = check::check_exists(self, op);
            if fits.is_err() {
                break;
            }
            undo.push(apply::ObjectSnapshot::new(self, op));
            apply::apply_op(self, op);
        }
        let fits = fits.and_then(|()| check::validate_ops(self, ops));
        if fits.is_err() {
            let undo = undo.into_iter().rev();
            undo.for_each(|undo| undo.restore(self));
        }
        fits
    }

    /// Compares a checkpoint with this state; it is never taken over here.
    fn compare(&mut self, offset: Offset, checkpoint: &Checkpoint) -> ApplyOutcome {
        if checkpoint.state.applied != offset || *checkpoint.state != *self {
            return ApplyOutcome::VoidCheckpoint;
        }
        let at = checkpoint.at;
        self.checkpoint = Some(CheckpointInfo { offset, at });
        ApplyOutcome::Checkpointed
    }

    fn prune(&mut self) {
        if !self.applied.0.is_multiple_of(PRUNE_PERIOD) {
            return;
        }
        let oldest = Offset(self.applied.0.saturating_sub(DECISION_WINDOW_RECORDS));
        self.touched.retain(|_, offset| *offset >= oldest);
        let kept = self.decided.partition_point(|past| past.offset < oldest);
        self.decided.drain(..kept);
    }

    /// Returns the decision about the change `id`, if it is remembered.
    pub fn decision(&self, id: &str) -> Option<&Decision> {
        self.decided.iter().rev().find(|past| past.id == id)
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

/// Checks that the texts of a change are bounded; one that fails is not remembered.
fn check_names(change: &Change) -> std::result::Result<(), Rejection> {
    if check_name(&change.id).is_ok() && check_name(&change.operator).is_ok() {
        return Ok(());
    }
    Err(malformed("id and operator must be names"))
}

/// Checks the parts of a change that do not depend on the objects.
fn check_envelope(offset: Offset, change: &Change) -> std::result::Result<(), Rejection> {
    let base = change.base;
    if base > offset {
        return Err(Rejection::BaseAhead { base });
    }
    if base.0 + DECISION_WINDOW_RECORDS < offset.0 {
        return Err(Rejection::Stale { base });
    }
    if change.ops.is_empty() {
        return Err(malformed("a change needs an operation"));
    }
    if change.relies_on.iter().any(|key| key.len() > MAX_KEY_LEN) {
        return Err(malformed("a key is too long"));
    }
    Ok(())
}

fn malformed(fault: &str) -> Rejection {
    let (object, fault) = ("change".into(), fault.into());
    Rejection::Invalid { object, fault }
}
