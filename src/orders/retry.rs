//! Failed loads, and when they are retried.

use std::{collections::BTreeMap, time::Duration};

use super::{EngineReport, VersionState};
use crate::{EngineName, Instant, VersionName};

/// Maximum number of loads of a version on one engine before its move stops.
const MAX_LOAD_ATTEMPTS: u32 = 3;

/// Pause before the first retry; each further failure doubles it.
const FIRST_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Failed loads of a pool that a lease holder has observed in reports.
#[derive(Debug, Default)]
pub struct Retries {
    failures: BTreeMap<(EngineName, VersionName), Failures>,
}

/// Failed loads of one version on one engine.
#[derive(Debug)]
struct Failures {
    count: u32,
    last_failed_at: Instant,
    /// Whether a load has been ordered whose result is not known yet.
    is_load_pending: bool,
}

impl Retries {
    /// Updates the failures from the reports of a pool; counts each failed load once.
    pub fn observe_reports(&mut self, reports: &BTreeMap<EngineName, EngineReport>, now: Instant) {
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
                    self.record_failure(engine, version, now);
                }
            }
        }
    }

    fn record_failure(&mut self, engine: &EngineName, version: &VersionName, now: Instant) {
        let key = (engine.clone(), version.clone());
        let failures = self.failures.entry(key).or_insert(Failures {
            count: 0,
            last_failed_at: now,
            is_load_pending: true,
        });
        if failures.is_load_pending {
            failures.count += 1;
            failures.last_failed_at = now;
            failures.is_load_pending = false;
        }
    }

    /// Records that a load has been ordered.
    pub fn record_attempt(&mut self, engine: &EngineName, version: &VersionName) {
        let key = (engine.clone(), version.clone());
        if let Some(failures) = self.failures.get_mut(&key) {
            failures.is_load_pending = true;
        }
    }

    /// Returns whether a failed load may be retried now.
    pub fn is_due(&self, engine: &EngineName, version: &VersionName, now: Instant) -> bool {
        let failures = self.failures.get(&(engine.clone(), version.clone()));
        failures.is_some_and(|failures| {
            let pause = FIRST_RETRY_PAUSE * (1 << (failures.count - 1));
            failures.count < MAX_LOAD_ATTEMPTS && now >= failures.last_failed_at + pause
        })
    }

    /// Returns the versions with a failed load that has not succeeded since.
    pub fn failing_versions(&self) -> impl Iterator<Item = &VersionName> {
        self.failures.keys().map(|(_, version)| version)
    }

    /// Returns whether a load has failed too often to be retried.
    pub fn is_exhausted(&self, engine: &EngineName, version: &VersionName) -> bool {
        let failures = self.failures.get(&(engine.clone(), version.clone()));
        failures.is_some_and(|failures| failures.count >= MAX_LOAD_ATTEMPTS)
    }
}
