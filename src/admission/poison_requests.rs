//! Poison requests: requests that crash the servers that run them.
//!
//! Load pattern: one request crashes each server that starts to run it, and its caller sends
//! it again, through any router. A request whose connections broke at several servers, without
//! one complete response to the same request, is not run again. A request that recently got a
//! complete response is never quarantined: it only ran on a server that another request
//! crashed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::Notify;

use super::{quarantine::QUARANTINE_TTL, Crash, Fingerprint, Quarantine, QuarantinedParts};
use crate::{catalog::Server, presence::PendingUpdates, sync::lock, Instant, Result};

/// Number of crashes, each of another server or incarnation, after which a request is refused.
///
/// Two servers may fail at the same time with all the requests that they run; a third crash in
/// a row is no coincidence.
const QUARANTINE_CRASHES: usize = 3;

/// Maximum number of crashes that one digest announces.
const MAX_CRASHES_PER_DIGEST: usize = 6;

/// Maximum number of crashes that wait for a digest; the latest are sent first.
const MAX_PENDING_CRASHES: usize = 64;

/// Maximum number of quarantines that other routers and the store get.
const MAX_SHARED_QUARANTINES: usize = 64;

/// Requests that are known to crash servers, and the crashes still to be announced.
#[derive(Debug)]
pub struct PoisonRequests {
    quarantine: Quarantine,
    /// Crashes to announce.
    pending: Mutex<PendingUpdates<Crash, MAX_PENDING_CRASHES>>,
    /// Notified when a quarantine begins.
    change_signal: Arc<Notify>,
}

impl Default for PoisonRequests {
    fn default() -> Self {
        PoisonRequests {
            quarantine: Quarantine::with_crash_limit(QUARANTINE_CRASHES),
            pending: Mutex::default(),
            change_signal: Arc::default(),
        }
    }
}

impl PoisonRequests {
    /// Sets the signal that is notified when a quarantine begins.
    #[must_use]
    pub fn with_change_signal(mut self, change_signal: Arc<Notify>) -> Self {
        self.change_signal = change_signal;
        self
    }

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
    pub fn record_success(&self, fingerprint: Fingerprint, now: Instant) {
        self.quarantine.record_success(fingerprint, now);
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

    /// Returns the quarantines that other routers and the store get, those that end last first.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        let quarantined = self.quarantine.quarantined(now).into_iter();
        let shared = quarantined.take(MAX_SHARED_QUARANTINES);
        shared
            .map(|(fingerprint, remaining)| {
                QuarantinedParts::of_request(fingerprint, remaining, QUARANTINE_TTL)
            })
            .collect()
    }

    /// Takes over the quarantine of a request that has `remaining` left, unless the request got a
    /// complete response here since it began.
    pub(super) fn adopt(&self, fingerprint: Fingerprint, remaining: Duration, now: Instant) {
        if self.quarantine.adopt(fingerprint, remaining, now) {
            self.log_quarantine(fingerprint, "router");
        }
    }

    fn record_unless_known_good(&self, crash: &Crash, now: Instant) -> bool {
        let fingerprint = crash.fingerprint;
        if self.quarantine.is_known_good(fingerprint) {
            return false;
        }
        let was_quarantined = self.quarantine.is_quarantined(fingerprint, now);
        let is_new = self.quarantine.record_crash(crash, now);
        if !was_quarantined && self.quarantine.is_quarantined(fingerprint, now) {
            self.log_quarantine(fingerprint, "crashes");
        }
        is_new
    }

    fn log_quarantine(&self, fingerprint: Fingerprint, source: &str) {
        let request = fingerprint.0;
        log::warn!("request quarantined request={request:016x} source={source}");
        self.change_signal.notify_one();
    }
}
