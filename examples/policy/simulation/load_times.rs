//! Simulated gossip of loads: the age of the loads that routers know of each other.

use rand::{Rng, RngExt};

use super::super::trace::SECOND;

/// Number of failure domains, each with one router that collects its loads.
const DOMAINS: usize = 7;

/// Schedule by which routers exchange loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipSchedule {
    /// Time between two gossip datagrams of a router, each to one random router.
    pub interval: u64,
    /// Time between two reports to the router that collects the loads of the domain.
    pub report_interval: u64,
    /// Whether calls between routers and their answers carry the loads as well.
    pub on_calls: bool,
}

/// Schedule of the library.
pub const LIBRARY_GOSSIP: GossipSchedule = GossipSchedule {
    interval: SECOND / 5,
    report_interval: SECOND * 2 / 5,
    on_calls: false,
};

/// For each router, the times at which the loads that it knows of the others were counted.
pub(super) struct LoadTimes {
    /// Time of the load of the second router that the first one knows.
    counted_at: Vec<Vec<u64>>,
    /// Time of the last reports within the domains.
    last_report: u64,
    /// Sum and number of the sampled ages, in microseconds.
    ages: (u64, u64),
}

impl LoadTimes {
    /// Creates the state of `routers` routers that know the loads of the start only.
    pub(super) fn new(routers: usize) -> Self {
        LoadTimes {
            counted_at: vec![vec![0; routers]; routers],
            last_report: 0,
            ages: (0, 0),
        }
    }

    /// Returns the time at which the load that `router` knows of `other` was counted.
    pub(super) fn counted_at(&self, router: usize, other: usize) -> u64 {
        self.counted_at[router][other]
    }

    /// Sends a datagram from each router, and the reports when they are due.
    pub(super) fn tick(&mut self, schedule: GossipSchedule, now: u64, rng: &mut impl Rng) {
        if now >= self.last_report + schedule.report_interval {
            self.last_report = now;
            for router in DOMAINS..self.counted_at.len() {
                self.counted_at[router % DOMAINS][router] = now;
            }
        }
        for from in 0..self.counted_at.len() {
            let to = rng.random_range(0..self.counted_at.len());
            self.send(from, to, now);
        }
        self.sample_ages(now);
    }

    /// Exchanges the known loads of two routers.
    pub(super) fn exchange(&mut self, one: usize, other: usize, now: u64) {
        self.send(one, other, now);
        self.send(other, one, now);
    }

    fn send(&mut self, from: usize, to: usize, now: u64) {
        if from < DOMAINS {
            self.counted_at[from][from] = now;
        }
        for subject in 0..self.counted_at.len() {
            let sent = self.counted_at[from][subject];
            let known = &mut self.counted_at[to][subject];
            *known = sent.max(*known);
        }
    }

    fn sample_ages(&mut self, now: u64) {
        for counted_at in self.counted_at.iter().flatten() {
            self.ages.0 += now - counted_at;
            self.ages.1 += 1;
        }
    }

    /// Returns the mean age of the loads, in milliseconds.
    pub(super) fn mean_age_ms(&self) -> u64 {
        self.ages.0 / self.ages.1.max(1) / 1_000
    }
}
