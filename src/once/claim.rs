//! Life cycle of a claim.

use super::{ClaimRecord, Ledger, Outcome, ResultRecord, Standing};

/// The claim may be in the log.
#[derive(Debug)]
pub struct Pending;
/// The claim is the first of its key: its owner may dispatch the call.
#[derive(Debug)]
pub struct Won;
/// Another claim of the key came first.
#[derive(Debug)]
pub struct Lost {
    outcome: Option<Outcome>,
}
/// The log does not prove which claim came first; this one is never dispatched.
#[derive(Debug)]
pub struct Unknown;

/// A claim at stage `S`; only a [`Claim<Won>`] lets a call be dispatched, and it is not `Clone`.
#[derive(Debug)]
pub struct Claim<S> {
    record: ClaimRecord,
    stage: S,
}

/// A claim after the log was read.
#[derive(Debug)]
pub enum Settled {
    /// See [`Won`].
    Won(Claim<Won>),
    /// See [`Lost`].
    Lost(Claim<Lost>),
    /// See [`Unknown`].
    Unknown(Claim<Unknown>),
}

impl Claim<Pending> {
    /// Creates a claim that is about to be appended.
    pub fn new(record: ClaimRecord) -> Self {
        Claim {
            record,
            stage: Pending,
        }
    }

    /// Decides the claim by what the log shows.
    pub fn settle(self, ledger: &Ledger) -> Settled {
        match ledger.standing(&self.record.key, self.record.issued) {
            Standing::Free | Standing::Forgotten => Settled::Unknown(self.at(Unknown)),
            Standing::Claimed(first) if *first == self.record => Settled::Won(self.at(Won)),
            Standing::Claimed(_) => Settled::Lost(self.at(Lost { outcome: None })),
            Standing::Done(outcome) => {
                let outcome = Some(outcome.clone());
                Settled::Lost(self.at(Lost { outcome }))
            }
        }
    }
}

impl<S> Claim<S> {
    fn at<T>(self, stage: T) -> Claim<T> {
        Claim {
            record: self.record,
            stage,
        }
    }

    /// Returns the record of the claim.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }

    fn into_result(self, outcome: Outcome) -> ResultRecord {
        ResultRecord {
            claim: self.record,
            outcome,
        }
    }
}

impl Claim<Won> {
    /// Spends the claim on what came of the call.
    pub fn finish(self, outcome: Outcome) -> ResultRecord {
        self.into_result(outcome)
    }
}

impl Claim<Lost> {
    /// Returns what came of the first claim, if that is recorded.
    pub fn into_outcome(self) -> Option<Outcome> {
        self.stage.outcome
    }
}

impl Claim<Unknown> {
    /// Gives the claim up, so that later attempts learn that it was never dispatched.
    pub fn give_up(self) -> ResultRecord {
        self.into_result(Outcome::NotRun)
    }
}
