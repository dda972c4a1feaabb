//! Decides which failure domains are evacuated.
//!
//! Load pattern: the operator empties a domain under load, often several at once, while routers
//! start, are cut off from the store, or the store comes back from a copy.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    EndedEvacuation, EvacuationChange, EvacuationDelta, EvacuationReport, EvacuationsRead,
    ReportedEvacuation,
};
use crate::{feed::Position, DomainName, Instant};

/// Time after the store came back from a copy within which the operator writes lost records again.
///
/// An evacuation that is kept too long only leaves servers idle.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Time for which the ends of evacuations are remembered, longer than servers take to warm up.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of evacuated domains, and of remembered ends.
const MAX_DOMAINS: usize = 1_024;

/// The evacuated failure domains, across restorations of the store from copies.
#[derive(Debug, Default)]
pub struct EvacuationRegistry {
    /// Position in the store before which all changes are applied; `None` before the first read.
    position: Option<Position>,
    in_force: BTreeMap<DomainName, Standing>,
    /// Domains whose evacuation has ended, and when.
    ended: BTreeMap<DomainName, Instant>,
}

/// Why a domain counts as evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The store lists it.
    Listed,
    /// The store listed it before it came back from a copy, and may do so again before this time.
    Doubted { until: Instant },
}

impl EvacuationRegistry {
    /// Returns the position in the store before which all changes are applied, or `None` before the
    /// first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the evacuated domains.
    pub fn in_force(&self) -> BTreeSet<DomainName> {
        self.in_force.keys().cloned().collect()
    }

    /// Returns whether a domain is evacuated or was within the last 60 s.
    pub fn has_any(&self) -> bool {
        !self.in_force.is_empty() || !self.ended.is_empty()
    }

    /// Returns the time at which this router or the one that feeds it learned that the last
    /// evacuation of `domain` had ended, or `None` if it is evacuated, never was, or ended more than
    /// 60 s ago.
    pub fn ended_at(&self, domain: &DomainName) -> Option<Instant> {
        self.ended.get(domain).copied()
    }

    /// Applies a read of the store that ended at `now` and included all changes before `next`;
    /// returns what it changed.
    ///
    /// A read that ends before the known position is ignored.
    pub fn apply(
        &mut self,
        read: &EvacuationsRead,
        next: Position,
        now: Instant,
    ) -> EvacuationDelta {
        if self.position.is_some_and(|known| known > next) {
            return EvacuationDelta::default();
        }
        let before = self.in_force.clone();
        self.advance(next, now);
        if read.is_complete {
            let listed = read.changes.iter().filter_map(EvacuationChange::listed);
            self.end_unlisted(&listed.collect(), now);
        }
        for change in &read.changes {
            match change {
                EvacuationChange::Begun(domain) => self.begin(domain, Standing::Listed),
                EvacuationChange::Ended(domain) => self.end(domain, now),
                EvacuationChange::Unreadable(domain) => {
                    if let Some(standing) = self.in_force.get_mut(domain) {
                        *standing = Standing::Listed;
                    }
                }
            }
        }
        self.expire(now);
        self.delta_since(&before)
    }

    /// Applies the report of another router that arrived at `now`; returns what it changed.
    ///
    /// A report from before the known position is ignored. Reports of equal positions differ in what
    /// a restored store may have forgotten; a domain is then evacuated if either names it.
    pub fn receive(&mut self, report: &EvacuationReport, now: Instant) -> EvacuationDelta {
        if self.position.is_some_and(|known| known > report.position) {
            return EvacuationDelta::default();
        }
        let is_later = self.position < Some(report.position);
        let before = self.in_force.clone();
        self.advance(report.position, now);
        if is_later {
            let listed = report.in_force.iter().map(|reported| &reported.domain);
            self.end_unlisted(&listed.collect(), now);
        }
        for ReportedEvacuation {
            domain,
            doubt_millis,
        } in &report.in_force
        {
            match doubt_millis {
                None => self.begin(domain, Standing::Listed),
                Some(_) if self.in_force.contains_key(domain) => {}
                // The doubt has ended here.
                Some(_) if !is_later && self.ended.contains_key(domain) => {}
                Some(millis) => {
                    let until = now + Duration::from_millis(*millis).min(REWRITE_TIME);
                    self.begin(domain, Standing::Doubted { until });
                }
            }
        }
        for ended in &report.ended {
            let elapsed = Duration::from_millis(ended.elapsed_millis).min(ENDED_RETENTION);
            if !self.in_force.contains_key(&ended.domain) && self.ended.len() < MAX_DOMAINS {
                let at = self.ended.entry(ended.domain.clone());
                let at = at.or_insert(now - elapsed);
                if is_later {
                    *at = now - elapsed;
                }
            }
        }
        self.expire(now);
        self.delta_since(&before)
    }

    /// Ends evacuations that a restored store no longer lists, if it is time for any; returns what
    /// that changed.
    pub fn settle(&mut self, now: Instant) -> EvacuationDelta {
        let before = self.in_force.clone();
        self.expire(now);
        self.delta_since(&before)
    }

    /// Returns the report for other routers, or `None` before the first read.
    pub fn report(&self, now: Instant) -> Option<EvacuationReport> {
        let in_force = self
            .in_force
            .iter()
            .map(|(domain, standing)| ReportedEvacuation {
                domain: domain.clone(),
                doubt_millis: standing.doubt_left(now),
            });
        let ended = self.ended.iter().map(|(domain, at)| EndedEvacuation {
            domain: domain.clone(),
            elapsed_millis: now.since(*at).as_millis() as u64,
        });
        Some(EvacuationReport {
            position: self.position?,
            in_force: in_force.collect(),
            ended: ended.collect(),
        })
    }

    /// Moves on to `next`; if the store came back from a copy since, it may have forgotten what is
    /// known.
    fn advance(&mut self, next: Position, now: Instant) {
        if self.position.is_some_and(|known| known.era < next.era) {
            let until = now + REWRITE_TIME;
            for standing in self.in_force.values_mut() {
                *standing = Standing::Doubted { until };
            }
        }
        self.position = Some(next);
    }

    fn begin(&mut self, domain: &DomainName, standing: Standing) {
        let is_known = self.in_force.contains_key(domain);
        if !is_known && self.in_force.len() >= MAX_DOMAINS {
            log::warn!("ignored an evacuation beyond {MAX_DOMAINS} domain={domain}");
            return;
        }
        self.ended.remove(domain);
        self.in_force.insert(domain.clone(), standing);
    }

    fn end(&mut self, domain: &DomainName, now: Instant) {
        if self.in_force.remove(domain).is_some() && self.ended.len() < MAX_DOMAINS {
            self.ended.insert(domain.clone(), now);
        }
    }

    /// Ends the evacuations that are neither `listed` nor in doubt.
    fn end_unlisted(&mut self, listed: &BTreeSet<&DomainName>, now: Instant) {
        let is_over = |domain: &DomainName, standing: &Standing| {
            *standing == Standing::Listed && !listed.contains(domain)
        };
        self.end_all(is_over, now);
    }

    /// Ends doubted evacuations that were not written again in time, and forgets old ends.
    fn expire(&mut self, now: Instant) {
        let is_over = |_: &DomainName, standing: &Standing| matches!(standing, Standing::Doubted { until } if now >= *until);
        self.end_all(is_over, now);
        self.ended.retain(|_, at| now.since(*at) < ENDED_RETENTION);
    }

    fn end_all(&mut self, is_over: impl Fn(&DomainName, &Standing) -> bool, now: Instant) {
        let over = self.in_force.iter().filter(|(d, s)| is_over(d, s));
        let over: Vec<_> = over.map(|(domain, _)| domain.clone()).collect();
        for domain in over {
            self.end(&domain, now);
        }
    }

    fn delta_since(&self, before: &BTreeMap<DomainName, Standing>) -> EvacuationDelta {
        let mut delta = EvacuationDelta::default();
        for (domain, standing) in &self.in_force {
            let changed = match (before.get(domain), standing) {
                (None, _) => &mut delta.begun,
                (Some(Standing::Listed), Standing::Doubted { .. }) => &mut delta.doubted,
                (Some(Standing::Doubted { .. }), Standing::Listed) => &mut delta.confirmed,
                _ => continue,
            };
            changed.push(domain.clone());
        }
        let ended = before.keys().filter(|d| !self.in_force.contains_key(*d));
        delta.ended = ended.cloned().collect();
        delta
    }
}

impl EvacuationChange {
    /// Returns the domain if the store has a record of it.
    fn listed(&self) -> Option<&DomainName> {
        match self {
            EvacuationChange::Begun(domain) | EvacuationChange::Unreadable(domain) => Some(domain),
            EvacuationChange::Ended(_) => None,
        }
    }
}

impl Standing {
    /// Returns the time until the evacuation ends unless it is written again, in milliseconds.
    fn doubt_left(self, now: Instant) -> Option<u64> {
        match self {
            Standing::Listed => None,
            Standing::Doubted { until } => Some(until.since(now).as_millis() as u64),
        }
    }
}
