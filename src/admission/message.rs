//! Calls about suspects.

use serde::{Deserialize, Serialize};

use super::{Crash, Fingerprint, TrialReply};
use crate::{
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Asks a router for the suspects and convicts that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectsRequest;

/// What a router knows of one suspect or convict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Engines that died with it in flight.
    pub deaths: Vec<(EngineName, Incarnation)>,
    /// How many of them count no more, as it was answered whole since.
    pub cleared: u32,
    /// For how long it stays known, in milliseconds.
    pub left_ms: u32,
}

impl Call for SuspectsRequest {
    type Answer = Vec<SuspectRecord>;

    fn into_request(self) -> Request {
        Request::Suspects
    }

    fn answer(reply: Reply) -> Option<Vec<SuspectRecord>> {
        match reply {
            Reply::Suspects(records) => Some(records),
            _ => None,
        }
    }
}

/// Asks the arbiter of a request to let it run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTrial {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of the trial, chosen by the asking router.
    pub number: u64,
}

/// Answer to a [`BeginTrial`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialAnswer {
    /// Whether the request may run.
    pub reply: TrialReply,
    /// What the arbiter knows of it, when engines died with it.
    pub known: Option<SuspectRecord>,
}

/// Tells the arbiter of a request that a trial of it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndTrial {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of the trial.
    pub number: u64,
    /// Whether it was answered whole.
    pub whole: bool,
}

/// Tells the arbiter of a request that an engine died with it in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccuseRequest(pub Crash);

impl Call for BeginTrial {
    type Answer = TrialAnswer;

    fn into_request(self) -> Request {
        Request::BeginTrial(self)
    }

    fn answer(reply: Reply) -> Option<TrialAnswer> {
        match reply {
            Reply::Trial(answer) => Some(answer),
            _ => None,
        }
    }
}

impl Call for EndTrial {
    type Answer = ();

    fn into_request(self) -> Request {
        Request::EndTrial(self)
    }

    fn answer(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Noted).then_some(())
    }
}

impl Call for AccuseRequest {
    type Answer = ();

    fn into_request(self) -> Request {
        Request::Accuse(self)
    }

    fn answer(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Noted).then_some(())
    }
}
