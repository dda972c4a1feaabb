//! Requests that crash the servers that run them.
//!
//! Load pattern: one request ends each server that begins to run it, and its caller sends it
//! again, at any router. A request whose connections broke at several servers, without one
//! whole answer to the same request, is not run again. Requests that were answered whole
//! lately are never blamed: they were only near.

use std::{collections::VecDeque, sync::Mutex};

use xxhash_rust::xxh3::Xxh3Default;

use super::{exchange::RequestTemplate, RequestHead};
use crate::{
    admission::{Crash, Fingerprint, Quarantine},
    catalog::Server,
    sync::lock,
    Instant, Result,
};

/// Servers that a request has to break off with before it is refused.
///
/// Two may go at once with all that they run; a third one in a row is no chance.
const QUARANTINE_CRASHES: usize = 3;

/// Digests in which a crash is told, as datagrams may be lost.
const ANNOUNCE_REPEATS: u8 = 2;

/// Most crashes in one digest.
const MAX_CRASHES_PER_DIGEST: usize = 6;

/// Most crashes that wait to be told; the latest go first.
const MAX_PENDING_UPDATES: usize = 64;

/// What this router knows of requests that crash servers, and has not told yet.
#[derive(Debug)]
pub struct PoisonRequests {
    quarantine: Quarantine,
    news: Mutex<VecDeque<(Crash, u8)>>,
}

impl Default for PoisonRequests {
    fn default() -> Self {
        PoisonRequests {
            quarantine: Quarantine::with_crash_limit(QUARANTINE_CRASHES),
            news: Mutex::default(),
        }
    }
}

impl PoisonRequests {
    /// Checks that a request may run.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`](crate::Category::Quarantined) with the verdict "not
    /// run" when it has crashed servers.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Result<()> {
        self.quarantine.check(fingerprint, now)
    }

    /// Notes that a request was answered whole.
    pub fn record_success(&self, fingerprint: Fingerprint) {
        self.quarantine.record_success(fingerprint);
    }

    /// Notes that the connection of a server broke while it ran a request; returns whether
    /// that is to be told.
    pub fn record_crash(&self, fingerprint: Fingerprint, server: &Server, now: Instant) -> bool {
        let crash = Crash {
            fingerprint,
            engine: server.name.clone(),
            incarnation: server.incarnation,
        };
        let is_news = self.blame(&crash, now);
        if is_news {
            let mut news = lock(&self.news);
            news.push_front((crash, ANNOUNCE_REPEATS));
            news.truncate(MAX_PENDING_UPDATES);
        }
        is_news
    }

    /// Takes over what another router told.
    pub fn receive(&self, crashes: &[Crash], now: Instant) {
        for crash in crashes {
            self.blame(crash, now);
        }
    }

    /// Returns what is to be told in the next digest.
    pub fn next_updates(&self) -> Vec<Crash> {
        let mut news = lock(&self.news);
        let count = news.len().min(MAX_CRASHES_PER_DIGEST);
        let mut told = Vec::with_capacity(count);
        for (crash, left) in news.drain(..count).collect::<Vec<_>>() {
            told.push(crash.clone());
            if left > 1 {
                news.push_back((crash, left - 1));
            }
        }
        told
    }

    fn blame(&self, crash: &Crash, now: Instant) -> bool {
        !self.quarantine.is_known_good(crash.fingerprint)
            && self.quarantine.record_crash(crash, now)
    }
}

/// Returns what is the same whenever a caller sends a request again.
pub(super) fn fingerprint(call: &RequestTemplate, head: &RequestHead) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    hash.update(call.method.as_str().as_bytes());
    hash.update(call.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(&call.body);
    Fingerprint(hash.digest())
}
