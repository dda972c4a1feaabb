//! What the teams have in flight at this router.

use std::{
    collections::BTreeMap,
    str::FromStr,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{retry_delay, PoolQueues, RetryBudget, SlotDemand};
use crate::{sync::lock, Category, Error, Result, TeamName};

/// Most teams whose use is remembered; idle ones are forgotten first.
pub const MAX_TEAMS: usize = 16_384;

/// Delay proposed to a caller whose retry budget is spent, before jitter.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// How soon a caller needs the answer.
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
    /// Someone waits for it.
    #[default]
    Interactive,
    /// It may run slowly, but must finish.
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
                "class is interactive or draft",
            )),
        }
    }
}

#[derive(Debug, Default)]
struct TeamUse {
    in_flight: u32,
    budget: RetryBudget,
}

/// The admission state of a router.
#[derive(Debug, Default)]
pub struct Admission {
    teams: Mutex<BTreeMap<TeamName, TeamUse>>,
    /// Requests that wait for an engine.
    pub queues: Arc<PoolQueues>,
    /// Requests that look for a slot, also before they wait in line.
    pub slot_demand: Arc<SlotDemand>,
}

impl Admission {
    /// Checks, before the body of a request is read, that its team may make the attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Category::RetryBudget`] when the team has spent its retries.
    pub fn check(&self, team: &TeamName, attempt: u32) -> Result<()> {
        let teams = lock(&self.teams);
        let spent = teams.get(team).is_some_and(|usage| usage.budget.is_spent());
        if attempt > 1 && spent {
            return Err(budget_spent(team));
        }
        Ok(())
    }

    /// Admits a request of `team`, which is attempt number `attempt` from 1.
    ///
    /// # Errors
    ///
    /// Returns [`Category::RetryBudget`] when the team has spent its retries.
    pub fn admit(self: &Arc<Self>, team: &TeamName, attempt: u32) -> Result<Permit> {
        let mut teams = lock(&self.teams);
        if !teams.contains_key(team) {
            make_room(&mut teams);
        }
        let usage = teams.entry(team.clone()).or_default();
        if attempt <= 1 {
            usage.budget.earn();
        } else if !usage.budget.spend() {
            return Err(budget_spent(team));
        }
        usage.in_flight += 1;
        Ok(Permit {
            admission: self.clone(),
            team: team.clone(),
        })
    }

    /// Spends one retry of `team` for a repetition by the router itself.
    pub fn spend_retry(&self, team: &TeamName) -> bool {
        let mut teams = lock(&self.teams);
        teams
            .get_mut(team)
            .is_some_and(|usage| usage.budget.spend())
    }

    /// Returns the number of teams whose use is remembered.
    pub fn teams(&self) -> usize {
        lock(&self.teams).len()
    }

    /// Returns the requests in flight by team.
    pub fn in_flight(&self) -> BTreeMap<TeamName, u32> {
        let teams = lock(&self.teams);
        let count = |(name, usage): (&TeamName, &TeamUse)| (name.clone(), usage.in_flight);
        teams.iter().map(count).collect()
    }
}

fn budget_spent(team: &TeamName) -> Error {
    let delay = retry_delay(RETRY_DELAY, &mut rand::rng());
    let message = format!("team {team} has spent its retries");
    Error::not_run(Category::RetryBudget, message).with_retry_after(delay)
}

/// Forgets teams that have nothing in flight when the limit is reached.
fn make_room(teams: &mut BTreeMap<TeamName, TeamUse>) {
    if teams.len() >= MAX_TEAMS {
        teams.retain(|_, usage| usage.in_flight > 0);
    }
}

/// A request that is in; dropping it lets the next one in.
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
