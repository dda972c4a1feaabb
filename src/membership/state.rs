//! Membership state that the tasks of a router share: the view, the gossip and the life cycle.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use super::{Gossip, Lifecycle, LifecyclePhase, RefusingEngines, View};
use crate::{infra::InstanceChanges, sync::lock, Incarnation, Instant, RouterName};

/// Time without a datagram of any other router and without an answer of the log service,
/// after which a router that knows other routers takes no new work.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);

/// The view, the gossip and the life cycle of a router, shared by its tasks.
#[derive(Debug)]
pub struct Membership {
    view: Mutex<View>,
    gossip: Mutex<Gossip>,
    phase: Mutex<Option<LifecyclePhase>>,
    last_log_answer: Mutex<Instant>,
    /// Engines that recently refused work.
    pub refusing_engines: RefusingEngines,
}

impl Membership {
    /// Creates the state of a router that has just started.
    pub fn new(me: RouterName, incarnation: Incarnation) -> Self {
        Membership {
            view: Mutex::new(View::new(me.clone())),
            gossip: Mutex::new(Gossip::new(me, incarnation)),
            phase: Mutex::new(Some(LifecyclePhase::Starting(Lifecycle::new()))),
            last_log_answer: Mutex::default(),
            refusing_engines: RefusingEngines::default(),
        }
    }

    /// Locks the view; the guard must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks the gossip; the guard must not be held across an await.
    ///
    /// A task that needs both locks the gossip before the view.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        lock(&self.gossip)
    }

    /// Records that the log service answered at `now`.
    pub fn record_log_answer(&self, now: Instant) {
        *lock(&self.last_log_answer) = now;
    }

    /// Returns whether the router is cut off from the log and from all routers it knows.
    ///
    /// A router that knows no other one cannot distinguish its own isolation from an outage of the
    /// log service, and never counts as isolated.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let last_contact = lock(&self.gossip)
            .last_received()
            .max(*lock(&self.last_log_answer));
        now.since(last_contact) >= ISOLATION_TIMEOUT && self.view().peers().next().is_some()
    }

    /// Moves the life cycle on after the configuration has been read.
    pub fn config_caught_up(&self) {
        self.advance(LifecyclePhase::config_known);
        if self.view().has_instance_list() {
            self.advance(LifecyclePhase::instances_known);
        }
    }

    /// Merges changes of the instance list and moves the life cycle on.
    pub fn apply_instances(&self, changes: InstanceChanges) {
        self.view().apply_instances(changes);
        self.advance(LifecyclePhase::instances_known);
    }

    /// Moves the life cycle on after a request to stop.
    pub fn leave(&self) {
        self.advance(LifecyclePhase::stop);
    }

    fn advance(&self, transition: impl FnOnce(LifecyclePhase) -> LifecyclePhase) {
        let mut phase = lock(&self.phase);
        let before = phase
            .take()
            .expect("the phase is set outside of a transition");
        let old_name = before.as_str();
        let after = transition(before);
        if after.as_str() != old_name {
            log::info!(
                "router changed its life cycle phase phase={}",
                after.as_str()
            );
        }
        *phase = Some(after);
    }

    /// Returns the name of the present life cycle phase.
    pub fn phase(&self) -> &'static str {
        lock(&self.phase)
            .as_ref()
            .map_or("starting", LifecyclePhase::as_str)
    }

    /// Returns whether the router has been asked to stop.
    pub fn is_leaving(&self) -> bool {
        matches!(*lock(&self.phase), Some(LifecyclePhase::Leaving(_)))
    }

    /// Returns whether the router takes new requests.
    pub fn is_serving(&self) -> bool {
        matches!(*lock(&self.phase), Some(LifecyclePhase::Serving(_)))
    }
}
