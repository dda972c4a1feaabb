//! Calls about suspects.

use serde::{Deserialize, Serialize};

use super::{CanaryReply, Crash, Fingerprint};
use crate::{
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Asks a router for the suspects and convicts that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashHistoryRequest;

/// What a router knows of one suspect or convict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Engines that died with it in flight.
    pub crashes: Vec<(EngineName, Incarnation)>,
    /// How many of them count no more, as it was answered whole since.
    pub cleared_count: u32,
    /// For how long it stays known, in milliseconds.
    pub remaining_ms: u32,
}

impl Call for CrashHistoryRequest {
    type Answer = Vec<CrashRecord>;

    fn into_request(self) -> Request {
        Request::CrashHistory
    }

    fn from_reply(reply: Reply) -> Option<Vec<CrashRecord>> {
        match reply {
            Reply::CrashHistory(records) => Some(records),
            _ => None,
        }
    }
}

/// Asks the arbiter of a request to let it run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCanary {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of the trial, chosen by the asking router.
    pub number: u64,
}

/// Answer to a [`BeginCanary`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCanaryReply {
    /// Whether the request may run.
    pub reply: CanaryReply,
    /// What the arbiter knows of it, when engines died with it.
    pub crash_record: Option<CrashRecord>,
}

/// Tells the arbiter of a request that a trial of it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndCanary {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of the trial.
    pub number: u64,
    /// Whether it was answered whole.
    pub completed: bool,
}

/// Tells the arbiter of a request that an engine died with it in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport(pub Crash);

impl Call for BeginCanary {
    type Answer = BeginCanaryReply;

    fn into_request(self) -> Request {
        Request::BeginCanary(self)
    }

    fn from_reply(reply: Reply) -> Option<BeginCanaryReply> {
        match reply {
            Reply::BeginCanary(answer) => Some(answer),
            _ => None,
        }
    }
}

impl Call for EndCanary {
    type Answer = ();

    fn into_request(self) -> Request {
        Request::EndCanary(self)
    }

    fn from_reply(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Ack).then_some(())
    }
}

impl Call for CrashReport {
    type Answer = ();

    fn into_request(self) -> Request {
        Request::CrashReport(self)
    }

    fn from_reply(reply: Reply) -> Option<()> {
        matches!(reply, Reply::Ack).then_some(())
    }
}
