//! Calls about suspects.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
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
