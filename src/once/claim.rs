//! Life cycle of a claim.

use super::{ClaimId, ClaimPosition, Outcome, ResultRecord};

/// The claim may be in the log.
#[derive(Debug)]
pub struct Pending;
/// The claim is the first of its key: its owner may dispatch the call.
#[derive(Debug)]
pub struct Acquired;
/// Another claim of the key came first.
#[derive(Debug)]
pub struct Duplicate {
    outcome: Option<Outcome>,
}
/// The log does not prove which claim came first; this one is never dispatched.
#[derive(Debug)]
pub struct Indeterminate;

/// A claim at stage `S`; only a [`Claim<Acquired>`] lets a call be dispatched, and it is not
/// `Clone`.
#[derive(Debug)]
pub struct Claim<S> {
    id: ClaimId,
    stage: S,
}

/// A claim after the log was read.
#[derive(Debug)]
pub enum SettledClaim {
    /// See [`Acquired`].
    Acquired(Claim<Acquired>),
    /// See [`Duplicate`].
    Duplicate(Claim<Duplicate>),
    /// See [`Indeterminate`].
    Indeterminate(Claim<Indeterminate>),
}

impl Claim<Pending> {
    /// Creates a claim that is about to be appended.
    pub fn new(id: ClaimId) -> Self {
        Claim { id, stage: Pending }
    }

    /// Decides the claim by what the log shows; `None` when it shows no first claim.
    pub fn settle(self, shown: Option<ClaimPosition>) -> SettledClaim {
        match shown {
            None => SettledClaim::Indeterminate(self.at(Indeterminate)),
            Some(ClaimPosition::First) => SettledClaim::Acquired(self.at(Acquired)),
            Some(ClaimPosition::Duplicate(outcome)) => {
                SettledClaim::Duplicate(self.at(Duplicate { outcome }))
            }
        }
    }
}

impl<S> Claim<S> {
    fn at<T>(self, stage: T) -> Claim<T> {
        Claim { id: self.id, stage }
    }

    /// Returns who claims which key.
    pub fn id(&self) -> &ClaimId {
        &self.id
    }

    fn into_result(self, outcome: Outcome) -> ResultRecord {
        ResultRecord {
            claim: self.id,
            outcome,
        }
    }
}

impl Claim<Acquired> {
    /// Spends the claim on what came of the call.
    pub fn finish(self, outcome: Outcome) -> ResultRecord {
        self.into_result(outcome)
    }
}

impl Claim<Duplicate> {
    /// Returns what came of the first claim, if that is recorded.
    pub fn into_outcome(self) -> Option<Outcome> {
        self.stage.outcome
    }
}

impl Claim<Indeterminate> {
    /// Gives the claim up, so that later attempts learn that it was never dispatched.
    pub fn give_up(self) -> ResultRecord {
        self.into_result(Outcome::NotRun)
    }
}
