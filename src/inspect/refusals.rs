//! The latest refusals with their reasons, for operators.

use std::{collections::VecDeque, sync::Mutex};

use serde::Serialize;

use crate::{sync::lock, Category, Error, RequestId, TeamName, UnixMillis, Verdict};

/// Largest number of refusals kept.
const MAX_REFUSALS: usize = 64;

/// Longest message kept, in characters.
const MAX_MESSAGE_CHARS: usize = 200;

/// One refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalRecord {
    /// Wall time of the refusal.
    pub at: UnixMillis,
    /// Id of the request.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Category of the error.
    pub reason: Category,
    /// Verdict sent to the caller.
    pub verdict: Verdict,
    /// Message of the error, shortened if it is long.
    pub message: String,
}

/// The latest refusals, newest last.
#[derive(Debug, Default)]
pub struct Refusals {
    ring: Mutex<VecDeque<RefusalRecord>>,
}

impl Refusals {
    /// Records a refusal, and drops the oldest one when the limit is reached.
    pub fn record(&self, request: &RequestId, team: &TeamName, err: &Error, at: UnixMillis) {
        let refusal = RefusalRecord {
            at,
            request: request.clone(),
            team: team.clone(),
            reason: err.classify(),
            verdict: err.verdict(),
            message: err.message().chars().take(MAX_MESSAGE_CHARS).collect(),
        };
        let mut ring = lock(&self.ring);
        if ring.len() == MAX_REFUSALS {
            ring.pop_front();
        }
        ring.push_back(refusal);
    }

    /// Returns the kept refusals, newest last.
    pub fn latest(&self) -> Vec<RefusalRecord> {
        lock(&self.ring).iter().cloned().collect()
    }
}
