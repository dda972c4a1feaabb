//! The leave of the whole fleet to run a request that might crash engines.

use std::{sync::Arc, time::Duration};

use super::Head;
use crate::{
    admission::{
        convicted, AccuseRequest, BeginTrial, Crash, EndTrial, Fingerprint, TrialAnswer,
        TrialHolder, TrialReply, Trust,
    },
    membership::Peer,
    placement, Category, Error, Incarnation, Result, Router, RouterName,
};

/// Time between two questions whether the trial of a copy has ended.
const TRIAL_RETRY: Duration = Duration::from_millis(100);

/// A trial under way; dropping it lets the next one begin.
pub(super) struct Trial {
    cx: Arc<Router>,
    fingerprint: Fingerprint,
    number: u64,
}

impl Trial {
    /// Waits until no other copy of the request is on trial, at whichever router.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] when the request is convicted, and
    /// [`Category::Overloaded`] when the trial of another copy does not end in time.
    pub(super) async fn begin(cx: &Arc<Router>, head: &Head) -> Result<Self> {
        let trial = Trial {
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
    /// As for [`Trial::begin`].
    pub(super) async fn wait(&self) -> Result<()> {
        let deadline = self.cx.clock.now() + self.cx.settings.limits.queue;
        loop {
            match self.ask().await {
                TrialReply::Run => return Ok(()),
                TrialReply::Proven => {
                    self.cx.quarantine.clear(self.fingerprint);
                    return Ok(());
                }
                TrialReply::Convicted => return Err(convicted()),
                TrialReply::Wait if self.cx.clock.now() >= deadline => {
                    return Err(copy_unanswered(&self.cx));
                }
                TrialReply::Wait => tokio::time::sleep(TRIAL_RETRY).await,
            }
        }
    }

    fn is_suspect(&self) -> bool {
        let now = self.cx.clock.now();
        let trust = self.cx.quarantine.trust(self.fingerprint, now);
        matches!(trust, Trust::Suspect(_))
    }

    async fn ask(&self) -> TrialReply {
        let cx = &self.cx;
        let req = BeginTrial {
            fingerprint: self.fingerprint,
            number: self.number,
        };
        let Some(peer) = cx.arbiter_of(self.fingerprint) else {
            return cx
                .answer_trial(&cx.settings.name, cx.incarnation, &req)
                .reply;
        };
        match cx.peers.call(&peer.name, peer.peer_address, req).await {
            Ok(answer) => {
                // The news of its deaths may not have come yet.
                let known = answer.known.into_iter().collect();
                cx.quarantine.adopt(known, cx.clock.now());
                answer.reply
            }
            // An arbiter out of reach must not hold up what has crashed nothing.
            Err(_) if self.is_suspect() => TrialReply::Wait,
            Err(_) => TrialReply::Run,
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (cx, fingerprint) = (self.cx.clone(), self.fingerprint);
        let req = EndTrial {
            fingerprint,
            number: self.number,
            whole: cx.quarantine.is_proven(fingerprint),
        };
        let Some(peer) = cx.arbiter_of(fingerprint) else {
            cx.end_trial(&cx.settings.name, cx.incarnation, &req);
            return;
        };
        // A lost end is made good by the time limit of a trial.
        tokio::spawn(async move { cx.peers.call(&peer.name, peer.peer_address, req).await });
    }
}

/// Returns the refusal of a request whose copy runs for too long.
pub(super) fn copy_unanswered(cx: &Router) -> Error {
    let message = "a copy of this request has not been answered yet";
    let err = Error::not_run(Category::Overloaded, message);
    err.with_retry_after(cx.settings.limits.queue)
}

impl Router {
    /// Returns the router where copies of a request meet, or `None` when it is this one.
    fn arbiter_of(&self, fingerprint: Fingerprint) -> Option<Arc<Peer>> {
        let view = self.membership.view();
        let key = format!("request-{:016x}", fingerprint.0);
        let name = placement::first(&key, view.duty_routers())?;
        let peer = view.peer(name).cloned();
        peer.filter(|peer| peer.name != self.settings.name)
    }

    /// Counts a death, here and at the arbiter of the request, before anyone sends it again.
    pub(super) async fn tell_death(&self, crash: &Crash) {
        self.engine_crashed(crash);
        if let Some(peer) = self.arbiter_of(crash.fingerprint) {
            let req = AccuseRequest(crash.clone());
            let told = self.peers.call(&peer.name, peer.peer_address, req).await;
            if let Err(err) = told {
                log::warn!("death not told to={} error=\"{err}\"", peer.name);
            }
        }
    }

    /// Decides on a trial as the arbiter of the request.
    pub fn answer_trial(
        &self,
        router: &RouterName,
        incarnation: Incarnation,
        req: &BeginTrial,
    ) -> TrialAnswer {
        let holder = TrialHolder {
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
        TrialAnswer {
            reply: self
                .quarantine
                .begin_trial(fingerprint, holder, is_live, now),
            known: self.quarantine.record(fingerprint, now),
        }
    }

    /// Ends a trial as the arbiter of the request.
    pub fn end_trial(&self, router: &RouterName, incarnation: Incarnation, req: &EndTrial) {
        let holder = TrialHolder {
            router: router.clone(),
            incarnation,
            number: req.number,
        };
        self.quarantine.end_trial(req.fingerprint, &holder);
        if req.whole {
            self.quarantine.clear(req.fingerprint);
        }
    }
}
