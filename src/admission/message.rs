//! Peer calls about crash history and canary runs.

use serde::{Deserialize, Serialize};

use super::{CanaryReply, Crash, Fingerprint};
use crate::{
    peer::{Call, Reply, Request},
    EngineName, Incarnation,
};

/// Asks a router for its crash history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashHistoryRequest;

/// Crash history of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Engines that crashed while the request was in flight on them.
    pub crashes: Vec<(EngineName, Incarnation)>,
    /// Number of crashes that no longer count because the request has completed since.
    pub cleared_count: u32,
    /// Time until the record expires, in milliseconds.
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

/// Asks the arbiter of a request whether a canary run may start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCanary {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the canary run, chosen by the calling router.
    pub number: u64,
}

/// Answer to a [`BeginCanary`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCanaryReply {
    /// Decision of the arbiter.
    pub reply: CanaryReply,
    /// Crash history of the request at the arbiter, if any crash counts.
    pub crash_record: Option<CrashRecord>,
}

/// Informs the arbiter of a request that a canary run of it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndCanary {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the canary run.
    pub number: u64,
    /// Whether the request completed.
    pub completed: bool,
}

/// Informs the arbiter of a request that an engine crashed with the request in flight.
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
