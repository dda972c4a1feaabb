//! Plans and the stages of their life cycle.

use serde::{Deserialize, Serialize};

use super::{Intent, PoolCapacity, VersionCapacity};
use crate::{
    config::{Change, ConfigState, Op, Operator, Rejection},
    Category, EngineName, Error, Offset, Result, UnixMillis,
};

/// Content of a plan, as shown to the operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// Id of the plan and of the change that it appends.
    pub id: String,
    /// Intent for which the plan was made.
    pub intent: Intent,
    /// Offset of the configuration on which the plan was made.
    pub base: Offset,
    /// Wall time at which the plan was made.
    pub drafted_at: UnixMillis,
    /// Descriptions of the operations, in order.
    pub steps: Vec<Step>,
    /// Capacity of the pools whose capacity changes.
    pub capacity: Vec<PoolCapacity>,
    /// Capacity of the versions that a rebalance assigns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionCapacity>,
    /// Estimate of the chats that lose their cached prompt prefixes.
    pub cold: ColdChats,
    /// Operations of the change.
    pub ops: Vec<Op>,
    /// Further keys for conflict detection, besides the objects of the operations.
    pub relies_on: Vec<String>,
}

/// Description of one step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Key of the object that the step modifies.
    pub object: String,
    /// Effect of the step, as text for the operator.
    pub action: String,
}

impl Step {
    /// Returns the steps of one operation.
    ///
    /// [`Op::Spread`] has a further step for each engine that it names; other operations have
    /// one step.
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

/// Estimate of the chats whose next request finds no cached prompt prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdChats {
    /// Chats with a request in flight now.
    pub in_flight: u32,
    /// Engines whose cached prefixes are lost.
    pub engines: Vec<EngineName>,
    /// Explanation of what the estimate counts and what it omits.
    pub basis: String,
}

/// Stage of a plan that no operator has confirmed.
#[derive(Debug)]
pub struct Drafted;

/// Stage of a plan that an operator has confirmed and whose change can be appended.
#[derive(Debug)]
pub struct Confirmed {
    operator: String,
    at: UnixMillis,
}

/// A plan at stage `S`.
///
/// The only transition is [`Plan::confirm`], from [`Drafted`] to [`Confirmed`].
#[derive(Debug)]
pub struct Plan<S> {
    document: PlanDocument,
    stage: S,
}

/// Decision of the fold about the change of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PlanOutcome {
    /// The change is accepted and in force from `offset` on.
    Accepted {
        /// Id of the plan.
        id: String,
        /// Offset of the change.
        offset: Offset,
    },
    /// The plan is not in force, at any router.
    Rejected {
        /// Id of the plan.
        id: String,
        /// Offset of the change.
        offset: Offset,
        /// Reason of the rejection.
        rejection: Rejection,
    },
}

impl<S> Plan<S> {
    /// Returns the content of the plan.
    pub fn document(&self) -> &PlanDocument {
        &self.document
    }
}

impl Plan<Drafted> {
    /// Creates an unconfirmed plan.
    pub fn new(document: PlanDocument) -> Self {
        let stage = Drafted;
        Plan { document, stage }
    }

    /// Confirms the plan in the name of an operator.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unauthorized`] when the plan changes objects that the operator may
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

/// Checks that `operator` may change the objects of `plan`.
///
/// An operator of a team may unload a version as part of the team's move, because such a move
/// unloads only versions that no other team needs.
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
    /// Returns the change to append.
    ///
    /// Every call returns the same change with the same id, so that it may be appended again.
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

    /// Returns the decision about the plan, if `state` holds one.
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
