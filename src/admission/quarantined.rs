//! Prompt parts in quarantine, which ends and begins anew.

use std::{collections::BTreeSet, time::Duration};

use super::{PartKey, QuarantinedParts};
use crate::{catalog::ServerKey, Instant};

/// Time for which requests with quarantined parts are refused at first.
///
/// For an hour after it, one more crash quarantines the parts again, for longer. The first
/// answer ends that.
const MIN_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest time for which requests with quarantined parts are refused.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Factor by which each further quarantine of the same parts is longer.
const QUARANTINE_GROWTH: u32 = 4;

/// Time by which a quarantine at least ends later when it begins anew.
const MIN_RENEWAL: Duration = Duration::from_secs(30);

/// Parts in quarantine, or on probation after it.
#[derive(Debug)]
pub(super) struct Quarantined {
    pub(super) parts: BTreeSet<PartKey>,
    /// Servers whose crashes are attributed to the parts.
    pub(super) servers: BTreeSet<ServerKey>,
    /// End of the quarantine.
    pub(super) until: Instant,
    length: Duration,
}

impl Quarantined {
    /// Begins the first quarantine of parts to which the crashes of `servers` are attributed.
    pub(super) fn new(
        parts: BTreeSet<PartKey>,
        servers: BTreeSet<ServerKey>,
        now: Instant,
    ) -> Self {
        Quarantined {
            parts,
            servers,
            until: now + MIN_QUARANTINE,
            length: MIN_QUARANTINE,
        }
    }

    /// Creates the quarantine that another router has announced.
    pub(super) fn from_update(update: &QuarantinedParts, now: Instant) -> Self {
        let length = Duration::from_millis(update.length_ms.into()).min(MAX_QUARANTINE);
        let remaining = Duration::from_millis(update.remaining_ms.into()).min(length);
        Quarantined {
            parts: update.parts.iter().copied().collect(),
            servers: BTreeSet::new(),
            until: now + remaining,
            length,
        }
    }

    /// Returns the same quarantine of other parts, to which the crashes of `servers` are attributed.
    pub(super) fn with_parts(self, parts: BTreeSet<PartKey>, servers: BTreeSet<ServerKey>) -> Self {
        Quarantined {
            parts,
            servers,
            ..self
        }
    }

    /// Attributes the crash of a server to the parts; a quarantine that has ended begins anew.
    pub(super) fn add_crash(&mut self, server: ServerKey, now: Instant) {
        if !self.is_in_force(now) {
            self.length = MAX_QUARANTINE.min(self.length * QUARANTINE_GROWTH);
            self.until = now + self.length;
        }
        self.servers.insert(server);
    }

    /// Takes over the end of a quarantine of the same parts if it has begun anew.
    ///
    /// One that has not ends later only by the time that its announcement took.
    pub(super) fn extend(&mut self, other: &Quarantined) {
        if other.until.since(self.until) >= MIN_RENEWAL {
            (self.until, self.length) = (other.until, other.length);
        }
    }

    /// Returns the time since the quarantine began, while it is in force.
    pub(super) fn age(&self, now: Instant) -> Duration {
        self.length.saturating_sub(self.until.since(now))
    }

    /// Returns whether the parts have been on probation for long enough to be forgotten.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        now.since(self.until) >= MAX_QUARANTINE
    }

    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether a request with these parts has all that are in quarantine.
    pub(super) fn is_in(&self, parts: &BTreeSet<PartKey>) -> bool {
        self.parts.is_subset(parts)
    }

    pub(super) fn to_update(&self, now: Instant) -> QuarantinedParts {
        QuarantinedParts {
            parts: self.parts.iter().copied().collect(),
            remaining_ms: self.until.since(now).as_millis() as u32,
            length_ms: self.length.as_millis() as u32,
        }
    }
}
