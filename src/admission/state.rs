//! Retry budgets and requests in flight of the teams at this router.

use std::{
    collections::BTreeMap,
    str::FromStr,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{retry_delay, PoolQueues, RetryBudget, SlotDemand};
use crate::{sync::lock, Category, Error, Result, TeamName};

/// Maximum number of teams tracked; at the limit, those without a request in flight are removed.
pub const MAX_TEAMS: usize = 16_384;

/// Mean delay before a retry that is proposed to a team whose retry budget is spent.
const BUDGET_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Priority class of a request.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// The request may run slowly, but must finish.
    Draft,
}

impl FromStr for Class {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "interactive" => Ok(Class::Interactive),
            "draft" => Ok(Class::Draft),
            _ => Err(Error::not_run(
                Category::BadInput,
                "class must be interactive or draft",
            )),
        }
    }
}

#[derive(Debug, Default)]
struct TeamUsage {
    in_flight: u32,
    budget: RetryBudget,
}

/// The admission state of a router.
#[derive(Debug, Default)]
pub struct Admission {
    teams: Mutex<BTreeMap<TeamName, TeamUsage>>,
    /// Requests that wait for an engine.
    pub queues: Arc<PoolQueues>,
    /// Requests that need a slot, including those that are not in a queue yet.
    pub slot_demand: Arc<SlotDemand>,
}

impl Admission {
    /// Checks the retry budget of a team before the body of its request is read.
    ///
    /// # Errors
    ///
    /// Returns [`Category::RetryBudget`] when the retry budget of the team is spent.
    pub fn check(&self, team: &TeamName, attempt: u32) -> Result<()> {
        let teams = lock(&self.teams);
        let spent = teams.get(team).is_some_and(|usage| usage.budget.is_spent());
        if attempt > 1 && spent {
            return Err(retry_budget_error(team));
        }
        Ok(())
    }

    /// Admits attempt number `attempt` at a request of `team`, counted from 1.
    ///
    /// # Errors
    ///
    /// Returns [`Category::RetryBudget`] when the retry budget of the team is spent.
    pub fn admit(self: &Arc<Self>, team: &TeamName, attempt: u32) -> Result<Permit> {
        let mut teams = lock(&self.teams);
        if !teams.contains_key(team) {
            make_room(&mut teams);
        }
        let usage = teams.entry(team.clone()).or_default();
        if attempt <= 1 {
            usage.budget.earn();
        } else if !usage.budget.spend() {
            return Err(retry_budget_error(team));
        }
        usage.in_flight += 1;
        Ok(Permit {
            admission: self.clone(),
            team: team.clone(),
        })
    }

    /// Spends one retry of `team` for a retry by the router itself; returns `false` when none
    /// is left.
    pub fn spend_retry(&self, team: &TeamName) -> bool {
        let mut teams = lock(&self.teams);
        teams
            .get_mut(team)
            .is_some_and(|usage| usage.budget.spend())
    }

    /// Returns the number of teams with a retry budget at this router.
    pub fn teams(&self) -> usize {
        lock(&self.teams).len()
    }

    /// Returns the number of requests in flight by team.
    pub fn in_flight(&self) -> BTreeMap<TeamName, u32> {
        let teams = lock(&self.teams);
        let count = |(name, usage): (&TeamName, &TeamUsage)| (name.clone(), usage.in_flight);
        teams.iter().map(count).collect()
    }
}

fn retry_budget_error(team: &TeamName) -> Error {
    let delay = retry_delay(BUDGET_RETRY_DELAY, &mut rand::rng());
    let message = format!("team {team} has exhausted its retry budget");
    Error::not_run(Category::RetryBudget, message).with_retry_after(delay)
}

/// Removes the teams without a request in flight when [`MAX_TEAMS`] is reached.
fn make_room(teams: &mut BTreeMap<TeamName, TeamUsage>) {
    if teams.len() >= MAX_TEAMS {
        teams.retain(|_, usage| usage.in_flight > 0);
    }
}

/// An admitted request, counted as in flight until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    team: TeamName,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(usage) = lock(&self.admission.teams).get_mut(&self.team) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}
