//! Updates that are announced once or twice and concern all routers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::count_within;
use crate::{
    admission::{Crash, PartUpdates},
    catalog::{ServerKey, SlownessReport},
    placement::{PrefillUpdate, SessionPlacement},
};

/// Maximum number of updates of one kind in one datagram.
const MAX_PER_DATAGRAM: usize = 48;

/// Maximum number of prompt parts that the crashes, or the quarantines, in one datagram name.
const MAX_PARTS_PER_DATAGRAM: usize = 24;

/// Maximum number of updates of one kind that wait at a relay; the earliest are dropped.
const MAX_QUEUED: usize = 16 * MAX_PER_DATAGRAM;

/// What routers learn from each other besides their states and loads.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Sessions that a router recently placed, and the engines chosen for them.
    pub placements: Vec<SessionPlacement>,
    /// Starts and ends of prefills.
    pub prefills: Vec<PrefillUpdate>,
    /// Requests whose servers closed the connection while running them.
    pub crashes: Vec<Crash>,
    /// Prompt parts that crash servers, and those that do not.
    pub part_updates: PartUpdates,
    /// Servers that have stopped sending within a stream.
    pub stalled_servers: Vec<ServerKey>,
    /// Servers that announced in a response that they leave, until the list of servers says so.
    pub leaving_servers: Vec<ServerKey>,
    /// Servers at which work takes longer or shorter than usual, or did so lately.
    pub slow_servers: Vec<SlownessReport>,
}

impl Updates {
    /// Returns whether there are no updates.
    pub fn is_empty(&self) -> bool {
        *self == Updates::default()
    }

    /// Returns whether a relay passes the updates on without waiting for its next round.
    pub(super) fn are_urgent(&self) -> bool {
        let parts = &self.part_updates;
        !self.prefills.is_empty()
            || !self.crashes.is_empty()
            || !parts.crashes.is_empty()
            || !parts.known_good.is_empty()
            || !parts.alive.is_empty()
            || !self.stalled_servers.is_empty()
    }

    /// Adds the updates of another router, each once.
    pub(super) fn merge(&mut self, other: &Updates) {
        append(&mut self.placements, &other.placements);
        for update in &other.prefills {
            // The end of a prefill supersedes its start.
            self.prefills.retain(|u| u.placement != update.placement);
            self.prefills.push(*update);
        }
        append(&mut self.crashes, &other.crashes);
        let (mine, theirs) = (&mut self.part_updates, &other.part_updates);
        append(&mut mine.crashes, &theirs.crashes);
        append(&mut mine.known_good, &theirs.known_good);
        append(&mut mine.alive, &theirs.alive);
        for quarantined in &theirs.quarantined {
            // Each router repeats the quarantines that it knows; one copy goes on.
            mine.quarantined.retain(|q| q.parts != quarantined.parts);
            mine.quarantined.push(quarantined.clone());
        }
        append(&mut self.stalled_servers, &other.stalled_servers);
        append(&mut self.leaving_servers, &other.leaving_servers);
        merge_slowness(&mut self.slow_servers, &other.slow_servers);
        drop_first(&mut self.prefills);
    }

    /// Takes the updates that fit into one datagram.
    pub(super) fn take_datagram(&mut self) -> Updates {
        let parts = &mut self.part_updates;
        Updates {
            placements: take(&mut self.placements, MAX_PER_DATAGRAM),
            prefills: take(&mut self.prefills, MAX_PER_DATAGRAM / 2),
            crashes: take(&mut self.crashes, MAX_PER_DATAGRAM / 6),
            part_updates: PartUpdates {
                crashes: take_within(&mut parts.crashes, MAX_PER_DATAGRAM / 8, |c| c.parts.len()),
                known_good: take(&mut parts.known_good, MAX_PER_DATAGRAM / 4),
                alive: take(&mut parts.alive, MAX_PER_DATAGRAM / 4),
                quarantined: take_within(&mut parts.quarantined, MAX_PER_DATAGRAM / 8, |q| {
                    q.parts.len()
                }),
            },
            stalled_servers: take(&mut self.stalled_servers, MAX_PER_DATAGRAM / 2),
            leaving_servers: take(&mut self.leaving_servers, MAX_PER_DATAGRAM / 2),
            slow_servers: take(&mut self.slow_servers, MAX_PER_DATAGRAM / 2),
        }
    }
}

/// Appends the items that `list` does not hold yet.
fn append<T: Clone + Ord>(list: &mut Vec<T>, items: &[T]) {
    if items.is_empty() {
        return;
    }
    let known: BTreeSet<T> = list.iter().cloned().collect();
    list.extend(items.iter().filter(|item| !known.contains(item)).cloned());
    drop_first(list);
}

/// Adds the reports of another router; of each server the latest one is kept.
fn merge_slowness(list: &mut Vec<SlownessReport>, reports: &[SlownessReport]) {
    for report in reports {
        match list.iter_mut().find(|known| known.server == report.server) {
            Some(known) if known.age_ms <= report.age_ms => {}
            Some(known) => *known = *report,
            None => list.push(*report),
        }
    }
    drop_first(list);
}

fn drop_first<T>(list: &mut Vec<T>) {
    let excess = list.len().saturating_sub(MAX_QUEUED);
    list.drain(..excess);
}

/// Takes up to `count` items that together name no more than [`MAX_PARTS_PER_DATAGRAM`] parts, one item
/// at least.
fn take_within<T>(list: &mut Vec<T>, count: usize, parts: impl Fn(&T) -> usize) -> Vec<T> {
    let sizes = list.iter().map(parts);
    let fitting = count_within(sizes, count, MAX_PARTS_PER_DATAGRAM);
    take(list, fitting.max(1))
}

fn take<T>(list: &mut Vec<T>, count: usize) -> Vec<T> {
    list.drain(..count.min(list.len())).collect()
}
