//! How old the loads are that routers know of each other.

use rand::{Rng, RngExt};

use super::super::trace::SECOND;

/// Failure domains, each with one router that sums up its load.
const DOMAINS: usize = 7;

/// How loads spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spread {
    /// Time between two datagrams of a router, each to one other.
    pub tick: u64,
    /// Time between two reports to the router that sums up the domain.
    pub report: u64,
    /// Whether calls and their answers carry the sums as well.
    pub calls: bool,
}

/// As the library spreads loads.
pub const SPREAD: Spread = Spread {
    tick: SECOND / 5,
    report: SECOND * 2 / 5,
    calls: false,
};

/// For each router, the time of the load that it knows of each other.
pub(super) struct News {
    heard: Vec<Vec<u64>>,
    reported: u64,
    ages: (u64, u64),
}

impl News {
    /// Creates the state of `routers` routers that know nothing.
    pub(super) fn new(routers: usize) -> Self {
        News {
            heard: vec![vec![0; routers]; routers],
            reported: 0,
            ages: (0, 0),
        }
    }

    /// Returns when the load was counted that `router` knows of `other`.
    pub(super) fn heard(&self, router: usize, other: usize) -> u64 {
        self.heard[router][other]
    }

    /// Lets each router send its datagram, and its report when it is due.
    pub(super) fn tick(&mut self, spread: Spread, now: u64, rng: &mut impl Rng) {
        if now >= self.reported + spread.report {
            self.reported = now;
            for router in DOMAINS..self.heard.len() {
                self.heard[router % DOMAINS][router] = now;
            }
        }
        for from in 0..self.heard.len() {
            let to = rng.random_range(0..self.heard.len());
            self.send(from, to, now);
        }
        self.note_age(now);
    }

    /// Lets two routers exchange what they know.
    pub(super) fn exchange(&mut self, one: usize, other: usize, now: u64) {
        self.send(one, other, now);
        self.send(other, one, now);
    }

    fn send(&mut self, from: usize, to: usize, now: u64) {
        if from < DOMAINS {
            self.heard[from][from] = now;
        }
        for about in 0..self.heard.len() {
            let told = self.heard[from][about];
            let known = &mut self.heard[to][about];
            *known = told.max(*known);
        }
    }

    fn note_age(&mut self, now: u64) {
        for heard in self.heard.iter().flatten() {
            self.ages.0 += now - heard;
            self.ages.1 += 1;
        }
    }

    /// Returns the mean age of the loads, in milliseconds.
    pub(super) fn mean_age_ms(&self) -> u64 {
        self.ages.0 / self.ages.1.max(1) / 1_000
    }
}
