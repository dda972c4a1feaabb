//! The latest refusals, for operators who ask why a request was refused.

use std::{collections::VecDeque, sync::Mutex};

use serde::Serialize;

use crate::{sync::lock, Category, Error, RequestId, TeamName, UnixMillis, Verdict};

/// Most refusals kept.
const MAX_REFUSALS: usize = 64;

/// Longest message kept, in characters.
const MAX_MESSAGE: usize = 200;

/// One refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalRecord {
    /// Wall time of the refusal.
    pub at: UnixMillis,
    /// Identity of the request.
    pub request: RequestId,
    /// Team that sent it.
    pub team: TeamName,
    /// What went wrong.
    pub reason: Category,
    /// The verdict that the caller got.
    pub verdict: Verdict,
    /// The text for people.
    pub message: String,
}

/// The latest refusals, the newest last.
#[derive(Debug, Default)]
pub struct Refusals {
    ring: Mutex<VecDeque<RefusalRecord>>,
}

impl Refusals {
    /// Keeps a refusal and drops the oldest one over the limit.
    pub fn record(&self, request: &RequestId, team: &TeamName, err: &Error, at: UnixMillis) {
        let refusal = RefusalRecord {
            at,
            request: request.clone(),
            team: team.clone(),
            reason: err.classify(),
            verdict: err.verdict(),
            message: err.message().chars().take(MAX_MESSAGE).collect(),
        };
        let mut ring = lock(&self.ring);
        if ring.len() == MAX_REFUSALS {
            ring.pop_front();
        }
        ring.push_back(refusal);
    }

    /// Returns the refusals, the newest last.
    pub fn latest(&self) -> Vec<RefusalRecord> {
        lock(&self.ring).iter().cloned().collect()
    }
}
