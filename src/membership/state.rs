//! What the tasks of a router share: the view, the gossip and the life cycle.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{Gossip, Lifecycle, LifecyclePhase, RefusingEngines, View};
use crate::{infra::InstanceChanges, sync::lock, Incarnation, Instant, RouterName};

/// Time without word from any other router and from the log, after which a router that
/// has heard of others takes no new work.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);

/// The view and the life cycle of a router, shared by its tasks.
#[derive(Debug)]
pub struct Membership {
    view: Mutex<View>,
    gossip: Mutex<Gossip>,
    phase: Mutex<Option<LifecyclePhase>>,
    log_heard: Mutex<Instant>,
    /// Engines that lately refused to take work.
    pub refusing: RefusingEngines,
}

impl Membership {
    /// Creates the state of a router that has just started.
    pub fn new(me: RouterName, life: Incarnation) -> Self {
        Membership {
            view: Mutex::new(View::new(me.clone())),
            gossip: Mutex::new(Gossip::new(me, life)),
            phase: Mutex::new(Some(LifecyclePhase::Starting(Lifecycle::new()))),
            log_heard: Mutex::default(),
            refusing: RefusingEngines::default(),
        }
    }

    /// Locks the view for a short, await-free use.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks the gossip for a short, await-free use; it is locked before the view.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        lock(&self.gossip)
    }

    /// Notes an answer of the log service.
    pub fn record_log_answer(&self, now: Instant) {
        *lock(&self.log_heard) = now;
    }

    /// Returns whether the router is cut off from the log and from all routers it knows.
    ///
    /// A router that knows no other cannot tell, and is never isolated.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let heard = lock(&self.gossip)
            .last_received()
            .max(*lock(&self.log_heard));
        now.since(heard) >= ISOLATION_TIMEOUT && self.view().peers().next().is_some()
    }

    /// The configuration is known.
    pub fn config_caught_up(&self) {
        self.advance(LifecyclePhase::config_known);
        if self.view().is_listed() {
            self.advance(LifecyclePhase::instances_known);
        }
    }

    /// Merges changes of the instance list.
    pub fn apply_instances(&self, changes: InstanceChanges) {
        self.view().apply_instances(changes);
        self.advance(LifecyclePhase::instances_known);
    }

    /// The router was asked to stop.
    pub fn leave(&self) {
        self.advance(LifecyclePhase::stop);
    }

    fn advance(&self, step: impl FnOnce(LifecyclePhase) -> LifecyclePhase) {
        let mut phase = lock(&self.phase);
        let before = phase.take().expect("a phase between steps");
        let name = before.as_str();
        let after = step(before);
        if after.as_str() != name {
            log::info!("router phase={}", after.as_str());
        }
        *phase = Some(after);
    }

    /// Returns the name of the phase.
    pub fn phase(&self) -> &'static str {
        lock(&self.phase)
            .as_ref()
            .map_or("starting", LifecyclePhase::as_str)
    }

    /// Returns whether the router has been asked to stop.
    pub fn is_leaving(&self) -> bool {
        matches!(*lock(&self.phase), Some(LifecyclePhase::Leaving(_)))
    }

    /// Returns whether new requests are taken.
    pub fn is_serving(&self) -> bool {
        matches!(*lock(&self.phase), Some(LifecyclePhase::Serving(_)))
    }
}
