//! Life cycle of a claim, as a typestate.

use super::{ClaimId, ClaimPosition, Outcome, ResultRecord};

/// Stage of a claim that may be in the log and is not settled.
#[derive(Debug)]
pub struct Pending;
/// Stage of a claim that is the first of its key: its router may dispatch the call.
#[derive(Debug)]
pub struct Acquired;
/// Stage of a claim that follows an earlier claim of its key.
#[derive(Debug)]
pub struct Duplicate {
    outcome: Option<Outcome>,
}
/// Stage of a claim that the log does not prove to be the first; its call is never dispatched.
#[derive(Debug)]
pub struct Indeterminate;

/// A claim at stage `S`.
///
/// Only a [`Claim<Acquired>`] permits a call to be dispatched. It is not `Clone`, so that it
/// permits one call only.
#[derive(Debug)]
pub struct Claim<S> {
    id: ClaimId,
    stage: S,
}

/// A claim that has left the stage [`Pending`].
#[derive(Debug)]
pub enum SettledClaim {
    /// The claim is the first of its key.
    Acquired(Claim<Acquired>),
    /// An earlier claim of the key exists.
    Duplicate(Claim<Duplicate>),
    /// The log does not prove which claim is the first.
    Indeterminate(Claim<Indeterminate>),
}

impl Claim<Pending> {
    /// Creates a claim that is about to be appended.
    pub fn new(id: ClaimId) -> Self {
        Claim { id, stage: Pending }
    }

    /// Settles the claim by its position in the log, which is `None` when no first claim is known.
    pub fn settle(self, position: Option<ClaimPosition>) -> SettledClaim {
        match position {
            None => SettledClaim::Indeterminate(self.with_stage(Indeterminate)),
            Some(ClaimPosition::First) => SettledClaim::Acquired(self.with_stage(Acquired)),
            Some(ClaimPosition::Duplicate(outcome)) => {
                SettledClaim::Duplicate(self.with_stage(Duplicate { outcome }))
            }
        }
    }
}

impl<S> Claim<S> {
    fn with_stage<T>(self, stage: T) -> Claim<T> {
        Claim { id: self.id, stage }
    }

    /// Returns the identity of the claim.
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
    /// Consumes the claim and returns the record of how the call ended.
    pub fn finish(self, outcome: Outcome) -> ResultRecord {
        self.into_result(outcome)
    }
}

impl Claim<Duplicate> {
    /// Returns the outcome of the first claim, if it is recorded.
    pub fn into_outcome(self) -> Option<Outcome> {
        self.stage.outcome
    }
}

impl Claim<Indeterminate> {
    /// Consumes the claim and returns the record that its call was never dispatched.
    pub fn abandon(self) -> ResultRecord {
        self.into_result(Outcome::NotRun)
    }
}
