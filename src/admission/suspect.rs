//! A prompt part and the crashes that count against it.

use std::time::Duration;

use crate::{catalog::ServerKey, Instant};

/// Time within which several crashes count as one, as a rack or a pool that loses power crashes
/// at one moment.
pub(super) const CRASH_SPACING: Duration = Duration::from_millis(150);

/// A part of which crashes are counted.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    /// Crashes in order of time.
    crashes: Vec<SuspectCrash>,
}

/// A crash that counts against a part.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectCrash {
    pub(super) server: ServerKey,
    pub(super) at: Instant,
    /// Whether an answer has cleared the part since; kept, as crashes are announced repeatedly.
    is_cleared: bool,
    /// Whether servers beside it have survived it.
    has_survivors: bool,
}

impl Suspect {
    pub(super) fn add_crash(&mut self, server: ServerKey, at: Instant) {
        let mut known = self.crashes.iter();
        if known.all(|crash| crash.server != server) {
            self.crashes.push(SuspectCrash {
                server,
                at,
                is_cleared: false,
                has_survivors: false,
            });
        }
    }

    pub(super) fn clear(&mut self) {
        for crash in &mut self.crashes {
            crash.is_cleared = true;
        }
    }

    pub(super) fn counted(&self) -> impl Iterator<Item = &SuspectCrash> {
        self.crashes.iter().filter(|a| !a.is_cleared)
    }

    /// Returns the number of crashes, where those within [`CRASH_SPACING`] count once.
    pub(super) fn counted_crashes(&self) -> usize {
        count_spaced(self.counted().map(|a| a.at))
    }

    /// Returns the number of crashes at least `min_age` ago, where those within [`CRASH_SPACING`] count
    /// once unless servers beside them have survived.
    pub(super) fn separate_crashes(&self, min_age: Duration, now: Instant) -> usize {
        let crashes = || self.counted().filter(|a| now.since(a.at) >= min_age);
        let separate = crashes().filter(|a| a.has_survivors).count();
        let others = crashes().filter(|a| !a.has_survivors);
        separate + count_spaced(others.map(|a| a.at))
    }

    /// Records that servers beside a server have survived its crash.
    pub(super) fn record_survivors(&mut self, server: ServerKey) {
        let mut crashes = self.crashes.iter_mut();
        if let Some(crash) = crashes.find(|crash| crash.server == server) {
            crash.has_survivors = true;
        }
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.counted().map(|a| a.server)
    }

    pub(super) fn last_crash(&self) -> Instant {
        let last = self.crashes.last();
        last.map_or_else(Instant::default, |a| a.at)
    }

    /// Removes the crash of a server; returns whether another one is left.
    pub(super) fn remove_crash(&mut self, server: ServerKey) -> bool {
        self.crashes.retain(|a| a.server != server);
        !self.crashes.is_empty()
    }
}

/// Returns the number of crashes at these times, where those within [`CRASH_SPACING`] of a counted
/// one do not count.
pub(super) fn count_spaced(times: impl Iterator<Item = Instant>) -> usize {
    let mut last_counted: Option<Instant> = None;
    let mut count = 0;
    for at in times {
        if last_counted.is_none_or(|last| at.since(last) >= CRASH_SPACING) {
            last_counted = Some(at);
            count += 1;
        }
    }
    count
}
