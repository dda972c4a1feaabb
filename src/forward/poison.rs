//! Poison requests: requests that crash the servers that run them.
//!
//! Load pattern: one request crashes each server that starts to run it, and its caller sends
//! it again, through any router. A request whose connections broke at several servers, without
//! one complete response to the same request, is not run again. A request that recently got a
//! complete response is never quarantined: it only ran on a server that another request
//! crashed.

use std::sync::Mutex;

use xxhash_rust::xxh3::Xxh3Default;

use super::{exchange::RequestTemplate, RequestHead};
use crate::{
    admission::{Crash, Fingerprint, Quarantine},
    catalog::Server,
    presence::PendingUpdates,
    sync::lock,
    Instant, Result,
};

/// Number of crashes, each of another server or incarnation, after which a request is refused.
///
/// Two servers may fail at the same time with all the requests that they run; a third crash in
/// a row is no coincidence.
const QUARANTINE_CRASHES: usize = 3;

/// Maximum number of crashes that one digest announces.
const MAX_CRASHES_PER_DIGEST: usize = 6;

/// Maximum number of crashes that wait for a digest; the latest are sent first.
const MAX_PENDING_CRASHES: usize = 64;

/// Requests that are known to crash servers, and the crashes still to be announced.
#[derive(Debug)]
pub struct PoisonRequests {
    quarantine: Quarantine,
    /// Crashes to announce.
    pending: Mutex<PendingUpdates<Crash, MAX_PENDING_CRASHES>>,
}

impl Default for PoisonRequests {
    fn default() -> Self {
        PoisonRequests {
            quarantine: Quarantine::with_crash_limit(QUARANTINE_CRASHES),
            pending: Mutex::default(),
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

    /// Records that a request got a complete response.
    pub fn record_success(&self, fingerprint: Fingerprint) {
        self.quarantine.record_success(fingerprint);
    }

    /// Records that the connection to a server broke while the server ran a request.
    ///
    /// Returns whether the crash was not known before and has to be announced.
    pub fn record_crash(&self, fingerprint: Fingerprint, server: &Server, now: Instant) -> bool {
        let crash = Crash {
            fingerprint,
            engine: server.name.clone(),
            incarnation: server.incarnation,
        };
        let is_new = self.record_unless_known_good(&crash, now);
        if is_new {
            lock(&self.pending).push_front(crash);
        }
        is_new
    }

    /// Records the crashes that another router announced.
    pub fn receive(&self, crashes: &[Crash], now: Instant) {
        for crash in crashes {
            self.record_unless_known_good(crash, now);
        }
    }

    /// Returns the crashes to announce in the next digest.
    pub fn next_updates(&self) -> Vec<Crash> {
        lock(&self.pending).take(MAX_CRASHES_PER_DIGEST)
    }

    fn record_unless_known_good(&self, crash: &Crash, now: Instant) -> bool {
        !self.quarantine.is_known_good(crash.fingerprint)
            && self.quarantine.record_crash(crash, now)
    }
}

/// Returns a hash that stays the same when a caller sends the same request again.
pub(super) fn fingerprint(template: &RequestTemplate, head: &RequestHead) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    hash.update(template.method.as_str().as_bytes());
    hash.update(template.uri.to_string().as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(&template.body);
    Fingerprint(hash.digest())
}
