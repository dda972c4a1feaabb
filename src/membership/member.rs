//! Member states of the other routers in the membership protocol.

use std::{collections::BTreeMap, time::Duration};

use super::{Epoch, Health};
use crate::{Incarnation, Instant, RouterName};

/// Time that a suspect has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// State of another router in the membership protocol, as this router believes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Latest known epoch of the router.
    pub epoch: Epoch,
    /// Believed health of the router in that epoch.
    pub health: Health,
    /// Latest incarnation that has announced that it leaves.
    pub leaving_incarnation: Option<Incarnation>,
    suspected_at: Instant,
}

impl MemberState {
    /// Returns whether the present incarnation has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_incarnation
            .is_some_and(|left| left >= self.epoch.incarnation)
    }

    /// Returns whether the router is a suspect whose epoch is not known.
    pub fn is_suspect_of_unknown_incarnation(&self) -> bool {
        self.health == Health::Suspect && self.epoch == Epoch::default()
    }
}

/// Member states of all routers on the instance list.
#[derive(Debug, Default)]
pub struct MemberStates {
    routers: BTreeMap<RouterName, MemberState>,
}

impl MemberStates {
    /// Returns the member state of `name`; an unknown router is alive.
    pub fn get(&self, name: &RouterName) -> MemberState {
        self.routers.get(name).copied().unwrap_or_default()
    }

    /// Removes the routers for which `listed` returns false.
    pub fn retain(&mut self, listed: impl Fn(&RouterName) -> bool) {
        self.routers.retain(|name, _| listed(name));
    }

    /// Merges a reported health of `name`; returns whether the member state changed.
    ///
    /// A later epoch overrules an earlier one; within one epoch the worse health counts.
    pub fn merge(&mut self, name: &RouterName, epoch: Epoch, health: Health, now: Instant) -> bool {
        let known = self.routers.entry(name.clone()).or_default();
        if (epoch, health) <= (known.epoch, known.health) {
            return false;
        }
        if health == Health::Suspect {
            known.suspected_at = now;
        }
        known.epoch = epoch;
        known.health = health;
        true
    }

    /// Records that an incarnation of `name` leaves; returns whether that was unknown.
    pub fn record_leave(&mut self, name: &RouterName, incarnation: Incarnation) -> bool {
        let known = self.routers.entry(name.clone()).or_default();
        let changed = known
            .leaving_incarnation
            .is_none_or(|left| left < incarnation);
        known.leaving_incarnation = known.leaving_incarnation.max(Some(incarnation));
        changed
    }

    /// Declares dead the suspects that have not refuted in time, and returns them.
    pub fn expire_suspects(&mut self, now: Instant) -> Vec<(RouterName, Epoch)> {
        let mut dead = Vec::new();
        for (name, known) in &mut self.routers {
            let is_late = now.since(known.suspected_at) >= SUSPICION_TIMEOUT;
            if known.health == Health::Suspect && is_late {
                known.health = Health::Dead;
                dead.push((name.clone(), known.epoch));
            }
        }
        dead
    }

    /// Restarts the suspicion timers of all suspects, after a pause of this router.
    pub fn restart_suspicion_timers(&mut self, now: Instant) {
        for known in self.routers.values_mut() {
            known.suspected_at = now;
        }
    }
}
