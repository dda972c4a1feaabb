//! A slot on an engine, which is given back when it is dropped.

use std::sync::Arc;

use super::{GrantId, GrantReply, GrantRequest, LoadLimit, ReleaseRequest};
use crate::{
    admission::CrashRisk,
    membership::{Engine, Peer},
    Category, Error, Result, Router,
};

/// A slot on an engine; dropping it gives the slot back to the steward.
pub struct Slot {
    cx: Arc<Router>,
    engine: Arc<Engine>,
    grant: GrantId,
    /// Whether the grant must be released on drop.
    held: bool,
    /// Whether the steward has confirmed the grant.
    granted: bool,
}

impl Slot {
    /// Asks the steward of `engine` for a slot below `limit`.
    ///
    /// `waiting` is the number of other requests at this router that need a slot in the pool;
    /// `crash_risk` is the crash risk of the request that asks.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the engine is at its load bound, or the request and
    /// one on the engine are both high risk, [`Category::Conflict`] when the request is not
    /// known good and a duplicate of it is on the engine, and [`Category::Unavailable`] when the
    /// engine is leaving or drained, or its steward cannot be asked. The request has not run
    /// in any of these cases.
    pub async fn acquire(
        cx: &Arc<Router>,
        engine: &Arc<Engine>,
        limit: LoadLimit,
        waiting: u32,
        crash_risk: CrashRisk,
    ) -> Result<Slot> {
        let steward = cx.remote_steward(&engine.name);
        let name = steward
            .as_ref()
            .map_or(&cx.settings.name, |peer| &peer.name);
        let mut slot = Slot {
            grant: cx.held_grants.allocate(&engine.name, name, cx.clock.now()),
            cx: cx.clone(),
            engine: engine.clone(),
            held: true,
            granted: false,
        };
        let refused = |category| {
            let message = format!("no slot was granted on engine {}", engine.name);
            Err(Error::not_run(category, message))
        };
        let reply = match slot
            .request_grant(steward.as_deref(), limit, waiting, crash_risk)
            .await
        {
            Ok(reply) => reply,
            // The slot may have been granted; it is given back when it is dropped.
            Err(_) => return refused(Category::Unavailable),
        };
        if reply == GrantReply::Granted {
            slot.granted = true;
            return Ok(slot);
        }
        slot.held = false;
        cx.held_grants.remove(&engine.name, slot.grant, true);
        match reply {
            GrantReply::Full | GrantReply::HighRiskInFlight => refused(Category::Overloaded),
            GrantReply::DuplicateInFlight => refused(Category::Conflict),
            _ => refused(Category::Unavailable),
        }
    }

    async fn request_grant(
        &self,
        steward: Option<&Peer>,
        limit: LoadLimit,
        waiting: u32,
        crash_risk: CrashRisk,
    ) -> Result<GrantReply> {
        let cx = &self.cx;
        let req = GrantRequest {
            engine: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
            grant: self.grant,
            waiting,
            limit,
            crash_risk,
        };
        match steward {
            Some(peer) => cx.peers.call(&peer.name, peer.peer_address, req).await,
            None => Ok(cx.handle_grant(&cx.settings.name, cx.incarnation, &req)),
        }
    }

    /// Returns the engine the slot is on.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let (cx, engine, grant) = (self.cx.clone(), self.engine.clone(), self.grant);
        let granted = self.granted;
        // The steward may have changed since the grant.
        let Some(peer) = cx.remote_steward(&engine.name) else {
            cx.release_local(&engine, grant, granted);
            return;
        };
        tokio::spawn(async move {
            let req = ReleaseRequest {
                engine: engine.name.clone(),
                grant,
            };
            let released = cx.peers.call(&peer.name, peer.peer_address, req).await;
            // The next renewal makes up for a lost release.
            cx.held_grants.remove(&engine.name, grant, released.is_ok());
            if granted {
                cx.slot_freed(&engine);
            }
        });
    }
}

impl Router {
    fn release_local(&self, engine: &Engine, grant: GrantId, granted: bool) {
        let now = self.clock.now();
        let me = &self.settings.name;
        self.steward
            .release(&engine.name, me, self.incarnation, grant, now);
        self.held_grants.remove(&engine.name, grant, true);
        if granted {
            self.slot_freed(engine);
        }
    }

    fn slot_freed(&self, engine: &Engine) {
        let queues = &self.admission.queues;
        queues.notify_slot_freed(&engine.pool, &engine.name);
    }
}
