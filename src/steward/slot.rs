//! A granted slot, given back when dropped.

use std::sync::Arc;

use super::{GrantId, GrantReply, GrantRequest, Holder, ReleaseRequest};
use crate::{
    membership::{Engine, Peer},
    Category, Error, Result, Router,
};

/// A slot on an engine; dropping it gives the slot back to the steward.
pub struct Slot {
    cx: Arc<Router>,
    engine: Arc<Engine>,
    grant: GrantId,
    steward: Option<Arc<Peer>>,
    granted: bool,
}

impl Slot {
    /// Asks the steward of `engine` for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the engine is at its bound and
    /// [`Category::Unavailable`] when it leaves or its steward cannot be asked. The
    /// request has not run in any of these cases.
    pub async fn acquire(cx: &Arc<Router>, engine: &Arc<Engine>) -> Result<Slot> {
        let mut slot = Slot {
            cx: cx.clone(),
            engine: engine.clone(),
            grant: cx.next_grant(),
            steward: cx.steward_of(&engine.name),
            granted: false,
        };
        let reply = slot.ask().await;
        let refused = |category| Err(Error::not_run(category, engine.name.to_string()));
        match reply {
            Ok(GrantReply::Granted) => {
                slot.granted = true;
                return Ok(slot);
            }
            // The unknown grant is given back when the slot drops.
            Err(_) => return refused(Category::Unavailable),
            Ok(_) => {}
        }
        slot.steward = None;
        match reply {
            Ok(GrantReply::Full) => refused(Category::Overloaded),
            _ => refused(Category::Unavailable),
        }
    }

    async fn ask(&self) -> Result<GrantReply> {
        let req = GrantRequest {
            engine: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
            grant: self.grant,
        };
        match &self.steward {
            Some(peer) => self.cx.peers.call(&peer.name, peer.peer_address, req).await,
            None => Ok(self
                .cx
                .answer_grant(&self.cx.settings.name, self.cx.incarnation, &req)),
        }
    }

    /// Returns the engine.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let cx = self.cx.clone();
        let Some(peer) = self.steward.take() else {
            let me = &cx.settings.name;
            cx.steward
                .release(&self.engine.name, me, cx.incarnation, self.grant);
            if self.granted {
                cx.slot_freed(&self.engine);
            }
            return;
        };
        let req = ReleaseRequest {
            engine: self.engine.name.clone(),
            grant: self.grant,
        };
        let freed = self.granted.then(|| self.engine.clone());
        tokio::spawn(async move {
            if let Err(err) = cx.peers.call(&peer.name, peer.peer_address, req).await {
                log::debug!("slot not given back error=\"{err}\"");
            }
            if let Some(engine) = freed {
                cx.slot_freed(&engine);
            }
        });
    }
}

impl Router {
    fn slot_freed(&self, engine: &Engine) {
        let lines = &self.admission.lines;
        lines.slot_freed(&engine.pool, &engine.name);
    }

    /// Decides a grant on an engine of which this router is the steward.
    pub fn answer_grant(
        &self,
        router: &crate::RouterName,
        incarnation: crate::Incarnation,
        req: &GrantRequest,
    ) -> GrantReply {
        if self.steward_of(&req.engine).is_some() {
            return GrantReply::NotSteward;
        }
        let engine = self.membership.view().engine(&req.engine).cloned();
        let Some(engine) = engine.filter(|engine| engine.incarnation == req.incarnation) else {
            return GrantReply::NotSteward;
        };
        let state = self.config.current();
        if state.drained.contains(&engine.name) {
            return GrantReply::Leaving;
        }
        let holder = Holder {
            router: router.clone(),
            incarnation,
            grant: req.grant,
        };
        let bound = self.bound(&engine.pool);
        self.steward.grant(&engine, holder, bound, self.clock.now())
    }
}
