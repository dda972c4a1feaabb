//! Life cycle of a claim.

use super::{ClaimRecord, Ledger, Recorded, Standing};

/// The claim may be in the log.
#[derive(Debug)]
pub struct Pending;
/// The claim is the first of its key: its owner may dispatch the call.
#[derive(Debug)]
pub struct Won;
/// Another claim of the key came first.
#[derive(Debug)]
pub struct Lost {
    /// The answer, when the other claim's call has run.
    pub answer: Option<Recorded>,
}
/// The log does not show the claim; it may still arrive there.
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
        match ledger.standing(&self.record.key) {
            Standing::Free => Settled::Unknown(self.at(Unknown)),
            Standing::Claimed(first) if first == self.record => Settled::Won(self.at(Won)),
            Standing::Claimed(_) => Settled::Lost(self.at(Lost { answer: None })),
            Standing::Done(answer) => Settled::Lost(self.at(Lost {
                answer: Some(answer),
            })),
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
}

impl Claim<Lost> {
    /// Returns the recorded answer, if there is one.
    pub fn into_answer(self) -> Option<Recorded> {
        self.stage.answer
    }
}
