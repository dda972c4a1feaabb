//! Requests whose stream broke, watched for news that the engine has a new life.

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use super::{Crash, Fingerprint};
use crate::{EngineName, Incarnation, Instant};

/// Time within which a restarted engine is on the instance list.
pub const POSSIBLE_CRASH_TTL: Duration = Duration::from_secs(5);

/// Most requests watched; those watched for longest are forgotten first.
pub const MAX_POSSIBLE_CRASHES: usize = 4_096;

/// A possible death of an engine, and until when it is watched.
#[derive(Debug)]
struct PossibleCrash {
    crash: Crash,
    until: Instant,
}

/// Possible deaths of engines, bounded in number and time.
#[derive(Debug, Default)]
pub struct PossibleCrashes {
    /// By request and number of the watch.
    watches: BTreeMap<(Fingerprint, u64), PossibleCrash>,
    next: u64,
}

impl PossibleCrashes {
    /// Watches the engine of a request whose stream broke.
    pub fn insert(&mut self, crash: Crash, now: Instant) {
        if self.watches.len() >= MAX_POSSIBLE_CRASHES {
            self.watches.retain(|_, watch| watch.until > now);
        }
        if self.watches.len() >= MAX_POSSIBLE_CRASHES {
            let oldest = self.watches.keys().min_by_key(|(_, number)| *number);
            oldest.copied().map(|key| self.watches.remove(&key));
        }
        let key = (crash.fingerprint, self.next);
        let until = now + POSSIBLE_CRASH_TTL;
        self.watches.insert(key, PossibleCrash { crash, until });
        self.next += 1;
    }

    /// Returns the number of engines that this request may have crashed.
    pub fn count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let own = self.watches.range(all_of(fingerprint));
        own.filter(|(_, watch)| watch.until > now).count()
    }

    /// Forgets what is now known to be a death.
    pub fn remove(&mut self, crash: &Crash) {
        let own = all_of(crash.fingerprint);
        let same = self
            .watches
            .extract_if(own, |_, watch| watch.crash == *crash);
        same.for_each(drop);
    }

    /// Forgets a request that was answered whole.
    pub fn remove_request(&mut self, fingerprint: Fingerprint) {
        let own = self.watches.extract_if(all_of(fingerprint), |_, _| true);
        own.for_each(drop);
    }

    /// Takes the deaths proved by a later `life` of `engine`.
    ///
    /// A life that broke off a request several times may have been several lives, whose
    /// numbers were not known yet. Each is given a number of its own below `life`.
    pub fn take_confirmed(
        &mut self,
        engine: &EngineName,
        life: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        let ended = |watch: &PossibleCrash| {
            let crash = &watch.crash;
            crash.engine == *engine && crash.incarnation < life && watch.until > now
        };
        let ended = self.watches.extract_if(.., |_, watch| ended(watch));
        let mut crashes = Vec::<Crash>::new();
        for (_, PossibleCrash { mut crash, .. }) in ended {
            let before = crashes.last();
            if let Some(before) = before.filter(|before| before.fingerprint == crash.fingerprint) {
                let next = before.incarnation.0 + 1;
                crash.incarnation = Incarnation(next.max(crash.incarnation.0).min(life.0 - 1));
            }
            crashes.push(crash);
        }
        crashes
    }

    /// Returns the number of possible deaths held.
    pub fn len(&self) -> usize {
        self.watches.len()
    }

    /// Returns whether nothing is watched.
    pub fn is_empty(&self) -> bool {
        self.watches.is_empty()
    }
}

fn all_of(fingerprint: Fingerprint) -> RangeInclusive<(Fingerprint, u64)> {
    (fingerprint, 0)..=(fingerprint, u64::MAX)
}
