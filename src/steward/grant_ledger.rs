//! Ledger of the grants on one engine.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::GrantReply;
use crate::{admission::CrashRisk, Incarnation, Instant, RouterName};

/// Maximum age of a load report of an engine when it arrives.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Maximum time from a grant until the request arrives at the engine.
pub const MAX_DISPATCH_DELAY: Duration = Duration::from_secs(1);

/// Time within which every live holder renews its grants.
const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(6);

/// Time after which grants that are not renewed become unattributed work.
pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of a grant within one incarnation of the router that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// The holder of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantHolder {
    /// Router that uses the slot.
    pub router: RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Number of the grant.
    pub grant: GrantId,
}

/// All grants on one engine that one incarnation of a router holds.
#[derive(Debug, Clone, Copy)]
pub struct RouterGrants<'a> {
    /// Router that holds the grants.
    pub router: &'a RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Numbers of the grants.
    pub grants: &'a [GrantId],
    /// Grants with this or a higher number are not covered.
    pub before: GrantId,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    granted_at: Instant,
    renewed_at: Instant,
    crash_risk: CrashRisk,
}

/// The work on one engine as counted by its steward.
///
/// Work is either covered by a grant or unattributed: reported by the engine without a known
/// grant, or left by a holder that is gone. The number of unattributed requests falls only
/// when load reports of the engine prove that they ended, or when a holder claims them.
#[derive(Debug, Default)]
pub struct GrantLedger {
    grants: HashMap<GrantHolder, Grant>,
    unattributed: u32,
    /// A high-risk request among the unattributed work, with the holder that it had.
    unattributed_high_risk: Option<(GrantHolder, CrashRisk)>,
    /// Time from which on load reports cover all unattributed work.
    reports_cover_from: Instant,
    /// Times at which recent grants ended, the oldest first.
    recently_ended: VecDeque<Instant>,
    /// Load and time of a report that is applied once every holder has renewed its grants.
    pending_report: Option<(u32, Instant)>,
}

impl GrantLedger {
    /// Merges the ledger of the previous steward, which no longer grants slots.
    pub fn merge(
        &mut self,
        holders: Vec<(GrantHolder, CrashRisk)>,
        unattributed: u32,
        now: Instant,
    ) {
        for (holder, crash_risk) in holders {
            match self.grants.get_mut(&holder) {
                Some(grant) => grant.crash_risk = crash_risk,
                None => self.insert_grant(holder, crash_risk, now),
            }
        }
        self.unattributed = self.unattributed.max(unattributed);
        self.reports_cover_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
    }

    /// Returns the number of requests that may be in flight on the engine.
    pub fn occupied(&self) -> u32 {
        self.grants.len() as u32 + self.unattributed
    }

    /// Returns the grants and the number of unattributed requests for the next steward.
    ///
    /// A high-risk request without a holder is listed as a grant, so that it is not lost.
    pub fn hand_over(&self) -> (Vec<(GrantHolder, CrashRisk)>, u32) {
        let grants = self.grants.iter();
        let granted = grants.map(|(holder, grant)| (holder.clone(), grant.crash_risk));
        let lost = self.unattributed_high_risk();
        let unattributed = self.unattributed - u32::from(lost.is_some());
        (granted.chain(lost.cloned()).collect(), unattributed)
    }

    fn unattributed_high_risk(&self) -> Option<&(GrantHolder, CrashRisk)> {
        let lost = self.unattributed_high_risk.as_ref();
        lost.filter(|_| self.unattributed > 0)
    }

    /// Grants a slot when fewer than `bound` are occupied.
    ///
    /// At most one high-risk request, and one of the duplicates of a request with unknown risk,
    /// holds a slot. A repeated call with the same holder is granted again and counted once.
    pub fn grant(
        &mut self,
        holder: GrantHolder,
        crash_risk: CrashRisk,
        bound: u32,
        now: Instant,
    ) -> GrantReply {
        if self.grants.contains_key(&holder) {
            return GrantReply::Granted;
        }
        if is_high_risk(crash_risk) && self.has_high_risk() {
            return GrantReply::HighRiskInFlight;
        }
        if matches!(crash_risk, CrashRisk::Unknown(_)) && self.has_duplicate(crash_risk) {
            return GrantReply::DuplicateInFlight;
        }
        if self.occupied() >= bound {
            return GrantReply::Full;
        }
        self.insert_grant(holder, crash_risk, now);
        GrantReply::Granted
    }

    fn has_high_risk(&self) -> bool {
        let has_grant = self
            .grants
            .values()
            .any(|grant| is_high_risk(grant.crash_risk));
        has_grant || self.unattributed_high_risk().is_some()
    }

    fn has_duplicate(&self, crash_risk: CrashRisk) -> bool {
        self.grants
            .values()
            .any(|grant| grant.crash_risk == crash_risk)
    }

    fn insert_grant(&mut self, holder: GrantHolder, crash_risk: CrashRisk, now: Instant) {
        let grant = Grant {
            granted_at: now,
            renewed_at: now,
            crash_risk,
        };
        self.grants.insert(holder, grant);
    }

    /// Ends the grant of `holder`.
    pub fn release(&mut self, holder: &GrantHolder, now: Instant) {
        if self.grants.remove(holder).is_some() {
            self.recently_ended.push_back(now);
        }
    }

    /// Sets the grants of one router to those that it lists.
    ///
    /// A grant that it no longer lists was released with a message that was lost. A listed
    /// grant that is not in the ledger was granted by an earlier steward.
    pub fn renew(&mut self, listed: &RouterGrants<'_>, now: Instant) {
        let released: Vec<_> = self
            .grants
            .keys()
            .filter(|holder| is_released(holder, listed))
            .cloned()
            .collect();
        released.iter().for_each(|holder| self.release(holder, now));
        for grant in listed.grants {
            self.renew_one(listed, *grant, now);
        }
    }

    fn renew_one(&mut self, listed: &RouterGrants<'_>, grant: GrantId, now: Instant) {
        let holder = GrantHolder {
            router: listed.router.clone(),
            incarnation: listed.incarnation,
            grant,
        };
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.renewed_at = now;
            return;
        }
        let high_risk = self
            .unattributed_high_risk
            .take_if(|(lost, _)| *lost == holder);
        let crash_risk = high_risk.map_or(CrashRisk::Low, |(_, crash_risk)| crash_risk);
        self.insert_grant(holder, crash_risk, now);
        self.unattributed = self.unattributed.saturating_sub(1);
    }

    /// Turns grants whose holder `is_gone` or has not renewed them into unattributed work.
    pub fn expire_holders(&mut self, is_gone: impl Fn(&GrantHolder) -> bool, now: Instant) {
        let is_lost = |holder: &GrantHolder, grant: &mut Grant| {
            now.since(grant.renewed_at) > HOLDER_TIMEOUT || is_gone(holder)
        };
        let lost: Vec<_> = self.grants.extract_if(is_lost).collect();
        if !lost.is_empty() {
            let known = self.unattributed_high_risk().cloned();
            self.unattributed += lost.len() as u32;
            let mut lost = lost
                .into_iter()
                .map(|(holder, grant)| (holder, grant.crash_risk));
            let high_risk = lost.find(|(_, crash_risk)| is_high_risk(*crash_risk));
            self.unattributed_high_risk = high_risk.or(known);
            self.reports_cover_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        }
    }

    /// Updates the unattributed work from a load report of the engine.
    pub fn record_load_report(&mut self, in_flight: u32, now: Instant) {
        let recent = MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
        while self
            .recently_ended
            .front()
            .is_some_and(|at| now.since(*at) > recent)
        {
            self.recently_ended.pop_front();
        }
        if now >= self.reports_cover_from {
            self.unattributed = self.unattributed.min(in_flight);
        }
        self.apply_pending_report(in_flight, now);
        let max_granted_count = (self.grants.len() + self.recently_ended.len()) as u32;
        let min_unattributed = in_flight.saturating_sub(max_granted_count);
        self.unattributed = self.unattributed.max(min_unattributed);
    }

    /// Limits the unattributed work to the load in the pending report less the grants that
    /// were running when it was made.
    ///
    /// A release may be lost, so only a renewal after the report proves that a grant was
    /// running when the report was made.
    fn apply_pending_report(&mut self, in_flight: u32, now: Instant) {
        let (reported, at) = *self.pending_report.get_or_insert((in_flight, now));
        if now.since(at) < MAX_RENEWAL_INTERVAL {
            return;
        }
        self.pending_report = Some((in_flight, now));
        if at < self.reports_cover_from {
            return;
        }
        let running = |grant: &&Grant| {
            grant.renewed_at >= at
                && at.since(grant.granted_at) > MAX_REPORT_AGE + MAX_DISPATCH_DELAY
        };
        let running_count = self.grants.values().filter(running).count() as u32;
        let max_unattributed = reported.saturating_sub(running_count);
        self.unattributed = self.unattributed.min(max_unattributed);
    }

    /// Counts the work that is on the engine when a new steward takes over.
    pub fn record_initial_load(&mut self, in_flight: u32, now: Instant) {
        let granted = self.grants.len() as u32;
        self.unattributed = self.unattributed.max(in_flight.saturating_sub(granted));
        self.reports_cover_from = now + MAX_REPORT_AGE + MAX_DISPATCH_DELAY;
    }
}

fn is_high_risk(crash_risk: CrashRisk) -> bool {
    matches!(crash_risk, CrashRisk::High(_))
}

fn is_released(holder: &GrantHolder, listed: &RouterGrants<'_>) -> bool {
    let same_router = holder.router == *listed.router && holder.incarnation == listed.incarnation;
    same_router && holder.grant < listed.before && !listed.grants.contains(&holder.grant)
}
