//! What is believed of the other routers.

use std::{collections::BTreeMap, time::Duration};

use super::{Epoch, Health};
use crate::{Incarnation, Instant, RouterName};

/// Time in which a suspect may refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// The belief about one router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Latest epoch heard of.
    pub epoch: Epoch,
    /// Belief about that epoch.
    pub health: Health,
    /// Latest life that has said it leaves.
    pub left_incarnation: Option<Incarnation>,
    suspected: Instant,
}

impl MemberState {
    /// Returns whether the present life has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.left_incarnation
            .is_some_and(|left| left >= self.epoch.incarnation)
    }

    /// Returns whether the router is a suspect from which nothing was ever heard.
    pub fn is_suspect_of_unknown_incarnation(&self) -> bool {
        self.health == Health::Suspect && self.epoch == Epoch::default()
    }
}

/// The beliefs about all routers of the instance list.
#[derive(Debug, Default)]
pub struct MemberStates {
    routers: BTreeMap<RouterName, MemberState>,
}

impl MemberStates {
    /// Returns the belief about `name`, by default that it is alive.
    pub fn get(&self, name: &RouterName) -> MemberState {
        self.routers.get(name).copied().unwrap_or_default()
    }

    /// Forgets the routers for which `listed` does not hold.
    pub fn retain(&mut self, listed: impl Fn(&RouterName) -> bool) {
        self.routers.retain(|name, _| listed(name));
    }

    /// Merges what is said of `name`; returns whether that changed the belief.
    ///
    /// A later epoch overrules an earlier one; of the same epoch the worse belief counts.
    pub fn merge(&mut self, name: &RouterName, epoch: Epoch, health: Health, now: Instant) -> bool {
        let known = self.routers.entry(name.clone()).or_default();
        if (epoch, health) <= (known.epoch, known.health) {
            return false;
        }
        if health == Health::Suspect {
            known.suspected = now;
        }
        known.epoch = epoch;
        known.health = health;
        true
    }

    /// Notes that a life of `name` leaves; returns whether that was news.
    pub fn record_leave(&mut self, name: &RouterName, life: Incarnation) -> bool {
        let known = self.routers.entry(name.clone()).or_default();
        let news = known.left_incarnation.is_none_or(|left| left < life);
        known.left_incarnation = known.left_incarnation.max(Some(life));
        news
    }

    /// Declares the suspects dead that have not refuted in time, and returns them.
    pub fn expire_suspects(&mut self, now: Instant) -> Vec<(RouterName, Epoch)> {
        let mut dead = Vec::new();
        for (name, known) in &mut self.routers {
            let late = now.since(known.suspected) >= SUSPICION_TIMEOUT;
            if known.health == Health::Suspect && late {
                known.health = Health::Dead;
                dead.push((name.clone(), known.epoch));
            }
        }
        dead
    }

    /// Gives all suspects their time again, after this router has been paused.
    pub fn restart_suspicion_timers(&mut self, now: Instant) {
        for known in self.routers.values_mut() {
            known.suspected = now;
        }
    }
}
