//! Prompt parts that servers have answered, bounded in number.
//!
//! Load pattern: prompts of a thousand parts, most of which no other request shares. They displace no
//! part that several answers have proved good.

use std::{collections::BTreeMap, time::Duration};

use super::{eviction::evict_lowest, PartKey};
use crate::Instant;

/// Time for which a part is known good after an answer.
const KNOWN_GOOD_TTL: Duration = Duration::from_secs(60);

/// Maximum number of parts, enough for the longest prompt that a request head holds.
const MAX_PARTS: usize = 4_096;

/// Number of parts that remain when there would be too many.
const PARTS_KEPT: usize = MAX_PARTS / 4 * 3;

/// Maximum number of parts that one answer adds; further answers to the same prompt add the others.
const MAX_ADDED_BY_ANSWER: usize = 256;

/// Prompt parts that servers have answered.
#[derive(Debug, Default)]
pub(super) struct KnownGoodParts(BTreeMap<PartKey, Answered>);

/// When a part was answered; sorts first what is forgotten first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Answered {
    /// Whether there were several answers.
    is_repeated: bool,
    last: Instant,
}

impl KnownGoodParts {
    /// Records an answer to a request with these parts.
    pub(super) fn record(&mut self, parts: &[PartKey], now: Instant) {
        let mut added = 0;
        for part in parts {
            if let Some(known) = self.0.get_mut(part) {
                known.is_repeated |= known.last < now;
                known.last = now;
            } else if added < MAX_ADDED_BY_ANSWER {
                added += 1;
                let answered = Answered {
                    is_repeated: false,
                    last: now,
                };
                self.0.insert(*part, answered);
            }
        }
        if self.0.len() > MAX_PARTS {
            evict_lowest(&mut self.0, PARTS_KEPT, |answered| *answered);
        }
    }

    /// Returns the time of the latest answer to a request with the part, if it is remembered.
    pub(super) fn last_answer(&self, part: PartKey) -> Option<Instant> {
        self.0.get(&part).map(|answered| answered.last)
    }

    /// Returns whether the part is known good.
    pub(super) fn contains(&self, part: PartKey, now: Instant) -> bool {
        self.last_answer(part)
            .is_some_and(|at| now.since(at) < KNOWN_GOOD_TTL)
    }
}
