//! The leave of the whole fleet to run a request that might crash engines.

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

/// Time between two questions whether the trial of a copy has ended.
const TRIAL_RETRY: Duration = Duration::from_millis(100);

/// A trial under way; dropping it lets the next one begin.
pub(super) struct CanaryPermit {
    cx: Arc<Router>,
    fingerprint: Fingerprint,
    number: u64,
}

impl CanaryPermit {
    /// Waits until no other copy of the request is on trial, at whichever router.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] when the request is convicted, and
    /// [`Category::Overloaded`] when the trial of another copy does not end in time.
    pub(super) async fn begin(cx: &Arc<Router>, head: &ChatHead) -> Result<Self> {
        let trial = CanaryPermit {
            cx: cx.clone(),
            fingerprint: head.fingerprint,
            number: cx.next_number(),
        };
        trial.wait().await?;
        Ok(trial)
    }

    /// Waits until the request may run again.
    ///
    /// # Errors
    ///
    /// As for [`CanaryPermit::begin`].
    pub(super) async fn wait(&self) -> Result<()> {
        let deadline = self.cx.clock.now() + self.cx.settings.limits.queue_timeout;
        loop {
            match self.ask().await {
                CanaryReply::Run => return Ok(()),
                CanaryReply::KnownGood => {
                    self.cx.quarantine.record_success(self.fingerprint);
                    return Ok(());
                }
                CanaryReply::Quarantined => return Err(quarantined_error()),
                CanaryReply::Wait if self.cx.clock.now() >= deadline => {
                    return Err(duplicate_in_flight_error(&self.cx));
                }
                CanaryReply::Wait => tokio::time::sleep(TRIAL_RETRY).await,
            }
        }
    }

    fn is_suspect(&self) -> bool {
        let now = self.cx.clock.now();
        let trust = self.cx.quarantine.crash_risk(self.fingerprint, now);
        matches!(trust, CrashRisk::High(_))
    }

    async fn ask(&self) -> CanaryReply {
        let cx = &self.cx;
        let req = BeginCanary {
            fingerprint: self.fingerprint,
            number: self.number,
        };
        let Some(peer) = cx.arbiter_of(self.fingerprint) else {
            return cx
                .answer_begin_canary(&cx.settings.name, cx.incarnation, &req)
                .reply;
        };
        match cx.peers.call(&peer.name, peer.peer_address, req).await {
            Ok(answer) => {
                // The news of its deaths may not have come yet.
                let known = answer.crash_record.into_iter().collect();
                cx.quarantine.merge(known, cx.clock.now());
                answer.reply
            }
            // An arbiter out of reach must not hold up what has crashed nothing.
            Err(_) if self.is_suspect() => CanaryReply::Wait,
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
        // A lost end is made good by the time limit of a trial.
        tokio::spawn(async move { cx.peers.call(&peer.name, peer.peer_address, req).await });
    }
}

/// Returns the refusal of a request whose copy runs for too long.
pub(super) fn duplicate_in_flight_error(cx: &Router) -> Error {
    let message = "a copy of this request has not been answered yet";
    let err = Error::not_run(Category::Overloaded, message);
    err.with_retry_after(cx.settings.limits.queue_timeout)
}

impl Router {
    /// Returns the router where copies of a request meet, or `None` when it is this one.
    fn arbiter_of(&self, fingerprint: Fingerprint) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let key = format!("request-{:016x}", fingerprint.0);
        let name = placement::rendezvous_first(&key, view.active_routers())?;
        let peer = view.peer(name).cloned();
        peer.filter(|peer| peer.name != self.settings.name)
    }

    /// Counts a death, here and at the arbiter of the request, before anyone sends it again.
    pub(super) async fn report_crash(&self, crash: &Crash) {
        self.record_engine_crash(crash);
        if let Some(peer) = self.arbiter_of(crash.fingerprint) {
            let req = CrashReport(crash.clone());
            let told = self.peers.call(&peer.name, peer.peer_address, req).await;
            if let Err(err) = told {
                log::warn!("death not told to={} error=\"{err}\"", peer.name);
            }
        }
    }

    /// Decides on a trial as the arbiter of the request.
    pub fn answer_begin_canary(
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

    /// Ends a trial as the arbiter of the request.
    pub fn end_canary(&self, router: &RouterName, incarnation: Incarnation, req: &EndCanary) {
        let holder = CanaryHolder {
            router: router.clone(),
            incarnation,
            number: req.number,
        };
        self.quarantine.end_canary(req.fingerprint, &holder);
        if req.completed {
            self.quarantine.record_success(req.fingerprint);
        }
    }
}
