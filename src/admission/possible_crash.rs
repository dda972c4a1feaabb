//! Possible crashes: requests whose stream broke off while the engine seemed alive.
//!
//! A later incarnation of the engine on the instance list confirms that it crashed.

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use super::{Crash, Fingerprint};
use crate::{EngineName, Incarnation, Instant};

/// Time after which a possible crash expires; a restarted engine is listed within it.
pub const POSSIBLE_CRASH_TTL: Duration = Duration::from_secs(5);

/// Maximum number of possible crashes kept; the oldest are removed first.
pub const MAX_POSSIBLE_CRASHES: usize = 4_096;

/// A possible crash, and the time at which it expires.
#[derive(Debug)]
struct PossibleCrash {
    crash: Crash,
    expires_at: Instant,
}

/// Possible crashes of engines, bounded in number and time.
#[derive(Debug, Default)]
pub struct PossibleCrashes {
    /// Entries by fingerprint of the request and number of the entry.
    entries: BTreeMap<(Fingerprint, u64), PossibleCrash>,
    next_number: u64,
}

impl PossibleCrashes {
    /// Adds the possible crash of an engine that broke off the stream of a request.
    pub fn insert(&mut self, crash: Crash, now: Instant) {
        if self.entries.len() >= MAX_POSSIBLE_CRASHES {
            self.entries.retain(|_, entry| entry.expires_at > now);
        }
        if self.entries.len() >= MAX_POSSIBLE_CRASHES {
            let oldest = self.entries.keys().min_by_key(|(_, number)| *number);
            oldest.copied().map(|key| self.entries.remove(&key));
        }
        let key = (crash.fingerprint, self.next_number);
        let expires_at = now + POSSIBLE_CRASH_TTL;
        self.entries
            .insert(key, PossibleCrash { crash, expires_at });
        self.next_number += 1;
    }

    /// Returns the number of possible crashes with this request in flight.
    pub fn count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let of_request = self.entries.range(key_range(fingerprint));
        of_request
            .filter(|(_, entry)| entry.expires_at > now)
            .count()
    }

    /// Removes a possible crash that is now known to be a crash.
    pub fn remove(&mut self, crash: &Crash) {
        let of_request = key_range(crash.fingerprint);
        let same = self
            .entries
            .extract_if(of_request, |_, entry| entry.crash == *crash);
        same.for_each(drop);
    }

    /// Removes all possible crashes with a request that has completed.
    pub fn remove_request(&mut self, fingerprint: Fingerprint) {
        let of_request = self.entries.extract_if(key_range(fingerprint), |_, _| true);
        of_request.for_each(drop);
    }

    /// Removes and returns the crashes that incarnation `newer` of `engine` confirms.
    ///
    /// When one incarnation broke off the same request several times, the engine may have
    /// restarted in between with incarnations not known yet. Each of these crashes gets a
    /// distinct incarnation below `newer`.
    pub fn take_confirmed(
        &mut self,
        engine: &EngineName,
        newer: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        let is_confirmed = |entry: &PossibleCrash| {
            let crash = &entry.crash;
            crash.engine == *engine && crash.incarnation < newer && entry.expires_at > now
        };
        let confirmed = self.entries.extract_if(.., |_, entry| is_confirmed(entry));
        let mut crashes = Vec::<Crash>::new();
        for (_, PossibleCrash { mut crash, .. }) in confirmed {
            let previous = crashes.last();
            if let Some(previous) =
                previous.filter(|previous| previous.fingerprint == crash.fingerprint)
            {
                let next = previous.incarnation.0 + 1;
                crash.incarnation = Incarnation(next.max(crash.incarnation.0).min(newer.0 - 1));
            }
            crashes.push(crash);
        }
        crashes
    }

    /// Returns the number of possible crashes kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no possible crash is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn key_range(fingerprint: Fingerprint) -> RangeInclusive<(Fingerprint, u64)> {
    (fingerprint, 0)..=(fingerprint, u64::MAX)
}
