//! Canary runs: at most one of the duplicates of a request that may crash engines runs at a
//! time in the whole fleet.
//!
//! The arbiter of a request, a router chosen by its fingerprint, decides which duplicate
//! may run.

use std::{sync::Arc, time::Duration};

use super::ChatHead;
use crate::{
    admission::{
        quarantined_error, BeginCanary, BeginCanaryReply, CanaryHolder, CanaryReply, Crash,
        CrashReport, CrashRisk, EndCanary, Fingerprint,
    },
    membership::Peer,
    placement, Category, Error, Incarnation, Result, Router, RouterName,
};

/// Time between two requests to the arbiter while the canary run of a duplicate lasts.
const CANARY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Permit for one canary run; dropping it ends the run, so that the next one may begin.
pub(super) struct CanaryPermit {
    cx: Arc<Router>,
    fingerprint: Fingerprint,
    number: u64,
}

impl CanaryPermit {
    /// Waits until no duplicate of the request is in a canary run at any router.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] when the request is quarantined, and
    /// [`Category::Overloaded`] when the canary run of a duplicate does not end within the
    /// queue timeout.
    pub(super) async fn begin(cx: &Arc<Router>, head: &ChatHead) -> Result<Self> {
        let permit = CanaryPermit {
            cx: cx.clone(),
            fingerprint: head.fingerprint,
            number: cx.next_number(),
        };
        permit.wait().await?;
        Ok(permit)
    }

    /// Waits until the arbiter lets this canary run go on.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`CanaryPermit::begin`].
    pub(super) async fn wait(&self) -> Result<()> {
        let deadline = self.cx.clock.now() + self.cx.settings.limits.queue_timeout;
        loop {
            match self.ask_arbiter().await {
                CanaryReply::Run => return Ok(()),
                CanaryReply::KnownGood => {
                    let now = self.cx.clock.now();
                    self.cx.quarantine.record_success(self.fingerprint, now);
                    return Ok(());
                }
                CanaryReply::Quarantined => return Err(quarantined_error()),
                CanaryReply::Wait if self.cx.clock.now() >= deadline => {
                    return Err(duplicate_in_flight_error(&self.cx));
                }
                CanaryReply::Wait => tokio::time::sleep(CANARY_POLL_INTERVAL).await,
            }
        }
    }

    fn is_high_risk(&self) -> bool {
        let now = self.cx.clock.now();
        let risk = self.cx.quarantine.crash_risk(self.fingerprint, now);
        matches!(risk, CrashRisk::High(_))
    }

    /// Asks the arbiter whether the request may run, and merges its crash record.
    async fn ask_arbiter(&self) -> CanaryReply {
        let cx = &self.cx;
        let req = BeginCanary {
            fingerprint: self.fingerprint,
            number: self.number,
        };
        let Some(peer) = cx.arbiter_of(self.fingerprint) else {
            return cx
                .handle_begin_canary(&cx.settings.name, cx.incarnation, &req)
                .reply;
        };
        match cx.peers.call(&peer.name, peer.peer_address, req).await {
            Ok(answer) => {
                // Crash reports that the arbiter has may not have reached this router yet.
                let known = answer.crash_record.into_iter().collect();
                cx.quarantine.merge(known, cx.clock.now());
                answer.reply
            }
            // An unreachable arbiter must not delay requests that have crashed no engine.
            Err(_) if self.is_high_risk() => CanaryReply::Wait,
            Err(_) => CanaryReply::Run,
        }
    }
}

impl Drop for CanaryPermit {
    fn drop(&mut self) {
        let (cx, fingerprint) = (self.cx.clone(), self.fingerprint);
        let req = EndCanary {
            fingerprint,
            number: self.number,
            completed: cx.quarantine.is_known_good(fingerprint),
        };
        let Some(peer) = cx.arbiter_of(fingerprint) else {
            cx.end_canary(&cx.settings.name, cx.incarnation, &req);
            return;
        };
        // If this message is lost, the arbiter ends the canary run at its timeout.
        tokio::spawn(async move { cx.peers.call(&peer.name, peer.peer_address, req).await });
    }
}

/// Returns the error for a request whose duplicate stays in flight for too long.
pub(super) fn duplicate_in_flight_error(cx: &Router) -> Error {
    let message = "a duplicate of this request is still in flight";
    let err = Error::not_run(Category::Overloaded, message);
    err.with_retry_after(cx.settings.limits.queue_timeout)
}

impl Router {
    /// Returns the router that arbitrates between duplicates of a request, or `None` when it is
    /// this one.
    fn arbiter_of(&self, fingerprint: Fingerprint) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let key = format!("request-{:016x}", fingerprint.0);
        let name = placement::rendezvous_first(&key, view.active_routers())?;
        let peer = view.peer(name).cloned();
        peer.filter(|peer| peer.name != self.settings.name)
    }

    /// Records the crash of an engine here and at the arbiter of the request.
    ///
    /// Returns after the arbiter has answered or failed, so that the request is not sent again
    /// before the arbiter can know of the crash.
    pub(super) async fn report_crash(&self, crash: &Crash) {
        self.record_engine_crash(crash);
        if let Some(peer) = self.arbiter_of(crash.fingerprint) {
            let req = CrashReport(crash.clone());
            let reported = self.peers.call(&peer.name, peer.peer_address, req).await;
            if let Err(err) = reported {
                log::warn!(
                    "cannot report engine crash to arbiter to={} error=\"{err}\"",
                    peer.name
                );
            }
        }
    }

    /// Decides, as the arbiter of the request, whether a canary run may begin.
    pub fn handle_begin_canary(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &BeginCanary,
    ) -> BeginCanaryReply {
        let holder = CanaryHolder {
            router: router.clone(),
            incarnation,
            number: req.number,
        };
        let is_live = |name: &RouterName| {
            let view = self.membership.view();
            *name == self.settings.name || view.peer(name).is_some() && !view.is_dead(name)
        };
        let now = self.clock.now();
        let fingerprint = req.fingerprint;
        BeginCanaryReply {
            reply: self
                .quarantine
                .begin_canary(fingerprint, holder, is_live, now),
            crash_record: self.quarantine.record_for(fingerprint, now),
        }
    }

    /// Ends a canary run, as the arbiter of the request.
    pub fn end_canary(&self, router: &RouterName, incarnation: Incarnation, req: &EndCanary) {
        let holder = CanaryHolder {
            router: router.clone(),
            incarnation,
            number: req.number,
        };
        self.quarantine.end_canary(req.fingerprint, &holder);
        if req.completed {
            self.quarantine
                .record_success(req.fingerprint, self.clock.now());
        }
    }
}
