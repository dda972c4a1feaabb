//! The grants on one engine.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::GrantReply;
use crate::{admission::CrashRisk, Incarnation, Instant, RouterName};

/// How old a load report of an engine may be when it arrives.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Longest time from a grant until the engine has the request.
pub const MAX_DISPATCH_DELAY: Duration = Duration::from_secs(1);

/// Time within which each live holder renews its grants.
const RENEWED_WITHIN: Duration = Duration::from_secs(6);

/// How long a holder may be silent before its grants lose their holder.
pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of a grant within one life of the router that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// The holder of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantHolder {
    /// Router that uses the slot.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number of the grant.
    pub grant: GrantId,
}

/// All grants on one engine that one life of a router holds.
#[derive(Debug, Clone, Copy)]
pub struct RouterGrants<'a> {
    /// Router that holds them.
    pub router: &'a RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// The grants.
    pub grants: &'a [GrantId],
    /// Grants from this number on are not covered.
    pub before: GrantId,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    granted: Instant,
    renewed: Instant,
    trust: CrashRisk,
}

/// What occupies one engine, as its steward accounts for it.
///
/// Work is either under a grant or unattributed: seen on the engine or left by a holder
/// that is gone. Unattributed work falls only as the engine's reports prove that it ended.
#[derive(Debug, Default)]
pub struct GrantLedger {
    grants: HashMap<GrantHolder, Grant>,
    unattributed: u32,
    /// A suspect among the unattributed work.
    lost_suspect: Option<(GrantHolder, CrashRisk)>,
    /// Since when the engine's reports cover the unattributed work.
    covered_from: Instant,
    /// When grants ended lately; the oldest first.
    ended: VecDeque<Instant>,
    /// A report that waits until each holder has renewed its grants after it.
    pending: Option<(u32, Instant)>,
}

impl GrantLedger {
    /// Takes over the book of the last steward, which grants no more.
    pub fn merge(
        &mut self,
        holders: Vec<(GrantHolder, CrashRisk)>,
        unattributed: u32,
        now: Instant,
    ) {
        for (holder, trust) in holders {
            match self.grants.get_mut(&holder) {
                Some(grant) => grant.trust = trust,
                None => self.put(holder, trust, now),
            }
        }
        self.unattributed = self.unattributed.max(unattributed);
        self.covered_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
    }

    /// Returns the requests that may be in flight on the engine.
    pub fn occupied(&self) -> u32 {
        self.grants.len() as u32 + self.unattributed
    }

    /// Returns the book for the next steward.
    ///
    /// A suspect that has lost its holder goes with it, so that it is not forgotten.
    pub fn hand_over(&self) -> (Vec<(GrantHolder, CrashRisk)>, u32) {
        let grants = self.grants.iter();
        let granted = grants.map(|(holder, grant)| (holder.clone(), grant.trust));
        let lost = self.lost_suspect();
        let unattributed = self.unattributed - u32::from(lost.is_some());
        (granted.chain(lost.cloned()).collect(), unattributed)
    }

    fn lost_suspect(&self) -> Option<&(GrantHolder, CrashRisk)> {
        let lost = self.lost_suspect.as_ref();
        lost.filter(|_| self.unattributed > 0)
    }

    /// Grants a slot when fewer than `bound` are occupied, to one suspect at a time, and to
    /// one copy of an unproven request.
    ///
    /// Asking again with the same holder is answered the same way and counted once.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        trust: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        if self.grants.contains_key(&holder) {
            return GrantReply::Granted;
        }
        if is_suspect(trust) && self.has_suspect() {
            return GrantReply::HighRiskInFlight;
        }
        if matches!(trust, CrashRisk::Unknown(_)) && self.has_copy(trust) {
            return GrantReply::DuplicateInFlight;
        }
        if self.occupied() >= bound {
            return GrantReply::Full;
        }
        self.put(holder, trust, now);
        GrantReply::Granted
    }

    fn has_suspect(&self) -> bool {
        let granted = self.grants.values().any(|grant| is_suspect(grant.trust));
        granted || self.lost_suspect().is_some()
    }

    fn has_copy(&self, trust: CrashRisk) -> bool {
        self.grants.values().any(|grant| grant.trust == trust)
    }

    fn put(&mut self, holder: GrantHolder, trust: CrashRisk, now: Instant) {
        let grant = Grant {
            granted: now,
            renewed: now,
            trust,
        };
        self.grants.insert(holder, grant);
    }

    /// Takes a slot back.
    pub fn release(&mut self, holder: &GrantHolder, now: Instant) {
        if self.grants.remove(holder).is_some() {
            self.ended.push_back(now);
        }
    }

    /// Sets the grants of one router to those that it says it holds.
    ///
    /// Grants that it no longer lists were released with a message that was lost. Those
    /// that the book does not know were granted by an earlier steward.
    pub fn renew(&mut self, held: &RouterGrants<'_>, now: Instant) {
        let ended: Vec<_> = self
            .grants
            .keys()
            .filter(|holder| is_released(holder, held))
            .cloned()
            .collect();
        ended.iter().for_each(|holder| self.release(holder, now));
        for grant in held.grants {
            self.renew_one(held, *grant, now);
        }
    }

    fn renew_one(&mut self, held: &RouterGrants<'_>, grant: GrantId, now: Instant) {
        let holder = GrantHolder {
            router: held.router.clone(),
            incarnation: held.incarnation,
            grant,
        };
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.renewed = now;
            return;
        }
        let found = self.lost_suspect.take_if(|(lost, _)| *lost == holder);
        let trust = found.map_or(CrashRisk::Low, |(_, trust)| trust);
        self.put(holder, trust, now);
        self.unattributed = self.unattributed.saturating_sub(1);
    }

    /// Takes the grants whose holder `is_gone` or silent as work without a holder.
    pub fn expire_holders(&mut self, is_gone: impl Fn(&GrantHolder) -> bool, now: Instant) {
        let gone = |holder: &GrantHolder, grant: &mut Grant| {
            now.since(grant.renewed) > HOLDER_TIMEOUT || is_gone(holder)
        };
        let lost: Vec<_> = self.grants.extract_if(gone).collect();
        if !lost.is_empty() {
            let known = self.lost_suspect().cloned();
            self.unattributed += lost.len() as u32;
            let mut lost = lost
                .into_iter()
                .map(|(holder, grant)| (holder, grant.trust));
            let suspect = lost.find(|(_, trust)| is_suspect(*trust));
            self.lost_suspect = suspect.or(known);
            self.covered_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        }
    }

    /// Takes a load report of the engine into account.
    pub fn record_load_report(&mut self, in_flight: u32, now: Instant) {
        let recent = MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        while self.ended.front().is_some_and(|at| now.since(*at) > recent) {
            self.ended.pop_front();
        }
        if now >= self.covered_from {
            self.unattributed = self.unattributed.min(in_flight);
        }
        self.compare_pending(in_flight, now);
        let possibly = (self.grants.len() + self.ended.len()) as u32;
        let least = in_flight.saturating_sub(possibly);
        self.unattributed = self.unattributed.max(least);
    }

    /// Subtracts the grants that were surely running from the pending report.
    ///
    /// A release may be lost, so only a renewal after the report proves that a grant was
    /// running when it was made.
    fn compare_pending(&mut self, in_flight: u32, now: Instant) {
        let (reported, at) = *self.pending.get_or_insert((in_flight, now));
        if now.since(at) < RENEWED_WITHIN {
            return;
        }
        self.pending = Some((in_flight, now));
        if at < self.covered_from {
            return;
        }
        let running = |grant: &&Grant| {
            grant.renewed >= at && at.since(grant.granted) > MAX_REPORT_AGE + MAX_DISPATCH_DELAY
        };
        let surely = self.grants.values().filter(running).count() as u32;
        let most = reported.saturating_sub(surely);
        self.unattributed = self.unattributed.min(most);
    }

    /// Counts the work that a new steward finds on the engine.
    pub fn record_initial_load(&mut self, in_flight: u32, now: Instant) {
        let granted = self.grants.len() as u32;
        self.unattributed = self.unattributed.max(in_flight.saturating_sub(granted));
        self.covered_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
    }
}

fn is_suspect(trust: CrashRisk) -> bool {
    matches!(trust, CrashRisk::High(_))
}

fn is_released(holder: &GrantHolder, held: &RouterGrants<'_>) -> bool {
    let same = holder.router == *held.router && holder.incarnation == held.incarnation;
    same && holder.grant < held.before && !held.grants.contains(&holder.grant)
}
