//! Loads that failed, and when they are tried again.

use std::{collections::BTreeMap, time::Duration};

use super::{EngineReport, VersionState};
use crate::{EngineName, Instant, VersionName};

/// Most loads of a version on an engine before its move stops.
const MAX_ATTEMPTS: u32 = 3;

/// Pause after the first failure; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// The failed loads of a pool, as one driver has seen them.
#[derive(Debug, Default)]
pub struct Retries {
    failures: BTreeMap<(EngineName, VersionName), Failures>,
}

#[derive(Debug)]
struct Failures {
    count: u32,
    last: Instant,
    /// Whether a load is on its way whose result is not known.
    is_open: bool,
}

impl Retries {
    /// Reads the reports of a pool; the failure of one load counts once.
    pub fn note(&mut self, reports: &BTreeMap<EngineName, EngineReport>, now: Instant) {
        self.failures.retain(|(engine, version), _| {
            let Some(report) = reports.get(engine) else {
                return true;
            };
            let state = report.versions.get(version);
            matches!(
                state,
                Some(VersionState::Loading | VersionState::Failed { .. })
            )
        });
        for (engine, report) in reports {
            for (version, state) in &report.versions {
                if matches!(state, VersionState::Failed { .. }) {
                    self.failed(engine, version, now);
                }
            }
        }
    }

    fn failed(&mut self, engine: &EngineName, version: &VersionName, now: Instant) {
        let key = (engine.clone(), version.clone());
        let failures = self.failures.entry(key).or_insert(Failures {
            count: 0,
            last: now,
            is_open: true,
        });
        if failures.is_open {
            failures.count += 1;
            failures.last = now;
            failures.is_open = false;
        }
    }

    /// A load has been ordered.
    pub fn record_attempt(&mut self, engine: &EngineName, version: &VersionName) {
        let key = (engine.clone(), version.clone());
        if let Some(failures) = self.failures.get_mut(&key) {
            failures.is_open = true;
        }
    }

    /// Returns whether a failed load may be tried again now.
    pub fn is_due(&self, engine: &EngineName, version: &VersionName, now: Instant) -> bool {
        let failures = self.failures.get(&(engine.clone(), version.clone()));
        failures.is_some_and(|failures| {
            let pause = FIRST_PAUSE * (1 << (failures.count - 1));
            failures.count < MAX_ATTEMPTS && now >= failures.last + pause
        })
    }

    /// Returns the versions of which a load has failed and none has succeeded since.
    pub fn failing(&self) -> impl Iterator<Item = &VersionName> {
        self.failures.keys().map(|(_, version)| version)
    }

    /// Returns whether a load has failed too often.
    pub fn is_exhausted(&self, engine: &EngineName, version: &VersionName) -> bool {
        let failures = self.failures.get(&(engine.clone(), version.clone()));
        failures.is_some_and(|failures| failures.count >= MAX_ATTEMPTS)
    }
}
