//! The life cycle of a plan.

use serde::{Deserialize, Serialize};

use super::{Intent, PoolCapacity, VersionCapacity};
use crate::{
    config::{Change, ConfigState, Op, Operator, Rejection},
    Category, EngineName, Error, Offset, Result, UnixMillis,
};

/// A plan as the operator reads it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// Identity of the plan, and of the change it leads to.
    pub id: String,
    /// What the operator wants.
    pub intent: Intent,
    /// Offset up to which the configuration was known.
    pub base: Offset,
    /// Wall time of the plan.
    pub drafted_at: UnixMillis,
    /// What is done, in order.
    pub steps: Vec<Step>,
    /// Pools whose capacity changes.
    pub capacity: Vec<PoolCapacity>,
    /// Versions whose engines change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionCapacity>,
    /// Estimate of the chats that go cold.
    pub cold: ColdChats,
    /// The operations.
    pub ops: Vec<Op>,
    /// Keys of what the plan relies on besides the objects of its operations.
    pub relies_on: Vec<String>,
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Key of the object that the step touches.
    pub object: String,
    /// What the step does.
    pub action: String,
}

impl Step {
    /// Describes one operation, which has a step for each engine that it names.
    pub fn all(op: &Op) -> Vec<Self> {
        let Op::Spread { engines, .. } = op else {
            return vec![Step::new(op)];
        };
        let steps = engines.iter().map(|(engine, versions)| {
            let versions: Vec<_> = versions.iter().map(|version| version.as_str()).collect();
            Step {
                object: format!("engine/{engine}"),
                action: format!(
                    "carry {} once all engines have theirs ready",
                    versions.join(", ")
                ),
            }
        });
        [Step::new(op)].into_iter().chain(steps).collect()
    }

    fn new(op: &Op) -> Self {
        let action = match op {
            Op::PutTeam(_) | Op::PutService(_) | Op::PutPool(_) | Op::PutModel(_) => "put".into(),
            Op::RemoveTeam { .. }
            | Op::RemoveService { .. }
            | Op::RemovePool { .. }
            | Op::RemoveModel { .. } => "remove".into(),
            Op::MoveTeam { to, .. } => format!("move to version {to} once engines have it ready"),
            Op::Load { version, .. } => format!("load version {version}"),
            Op::Unload { version, .. } => {
                format!("unload version {version} once no team is served by it")
            }
            Op::Spread { engines, .. } if engines.is_empty() => {
                "carry all versions on each engine".into()
            }
            Op::Spread { .. } => "spread versions over engines; others carry all".into(),
            Op::Retry { .. } => "try failed loads again".into(),
            Op::Drain { .. } => "take no new work; work in flight ends by itself".into(),
            Op::Undrain { .. } => "take new work again".into(),
            Op::SetRole { role, .. } => format!("change role to {role:?}").to_lowercase(),
        };
        let object = op.object();
        Step { object, action }
    }
}

/// An estimate of the chats whose next request finds no cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdChats {
    /// Chats with a request in flight now.
    pub in_flight: u32,
    /// Engines whose cached prefixes are lost.
    pub engines: Vec<EngineName>,
    /// What the estimate counts, and what it does not.
    pub basis: String,
}

/// Nobody has agreed to the plan.
#[derive(Debug)]
pub struct Drafted;

/// An operator has agreed; the fold has not decided as far as is known here.
#[derive(Debug)]
pub struct Confirmed {
    operator: String,
    at: UnixMillis,
}

/// A plan at stage `S`; only the listed transitions exist.
#[derive(Debug)]
pub struct Plan<S> {
    document: PlanDocument,
    stage: S,
}

/// What the fold made of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PlanOutcome {
    /// The plan is in force from this offset on.
    Accepted {
        /// Identity of the plan.
        id: String,
        /// Offset of its change.
        offset: Offset,
    },
    /// The plan is not in force, at any router.
    Rejected {
        /// Identity of the plan.
        id: String,
        /// Offset of its change.
        offset: Offset,
        /// Why.
        rejection: Rejection,
    },
}

impl<S> Plan<S> {
    /// Returns the plan as the operator reads it.
    pub fn document(&self) -> &PlanDocument {
        &self.document
    }
}

impl Plan<Drafted> {
    /// Creates a plan that nobody has agreed to.
    pub fn new(document: PlanDocument) -> Self {
        let stage = Drafted;
        Plan { document, stage }
    }

    /// An operator agrees to the plan.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unauthorized`] when the plan touches what the operator may
    /// not change.
    pub fn confirm(self, operator: &Operator, now: UnixMillis) -> Result<Plan<Confirmed>> {
        check_scope(operator, &self.document)?;
        let stage = Confirmed {
            operator: operator.name.clone(),
            at: now,
        };
        Ok(Plan {
            document: self.document,
            stage,
        })
    }
}

/// Checks that `operator` may carry out `plan`.
///
/// A move of an own team may unload the version that it alone needed.
fn check_scope(operator: &Operator, plan: &PlanDocument) -> Result<()> {
    let Some(teams) = &operator.teams else {
        return Ok(());
    };
    let is_move = matches!(plan.intent, Intent::MoveTeam { .. });
    let is_allowed = |op: &Op| match op {
        Op::Unload { .. } => is_move,
        op => op.team().is_some_and(|team| teams.contains(team)),
    };
    let Some(op) = plan.ops.iter().find(|op| !is_allowed(op)) else {
        return Ok(());
    };
    let message = format!("operator {} may not change {}", operator.name, op.object());
    Err(Error::not_run(Category::Unauthorized, message))
}

impl Plan<Confirmed> {
    /// Returns the change to append; the same however often it is asked for.
    pub fn change(&self) -> Change {
        Change {
            id: self.document.id.clone(),
            operator: self.stage.operator.clone(),
            at: self.stage.at,
            base: self.document.base,
            ops: self.document.ops.clone(),
            relies_on: self.document.relies_on.clone(),
        }
    }

    /// Returns what the fold made of the plan, if `state` shows it.
    pub fn outcome(&self, state: &ConfigState) -> Option<PlanOutcome> {
        let decision = state.decision(&self.document.id)?;
        let (id, offset) = (decision.id.clone(), decision.offset);
        Some(match decision.rejection.clone() {
            None => PlanOutcome::Accepted { id, offset },
            Some(rejection) => PlanOutcome::Rejected {
                id,
                offset,
                rejection,
            },
        })
    }
}
