//! What one router has read of a lease stream.

use super::LeaseRecord;
use crate::{Instant, Offset};

/// The last record that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentRecord {
    /// The record.
    pub record: LeaseRecord,
    /// Fencing number of its tenure.
    pub fence: Offset,
    /// When this router read it.
    pub seen: Instant,
}

/// The stream as read so far.
#[derive(Debug, Clone, Default)]
pub struct LeaseStream {
    applied: Offset,
    current: Option<CurrentRecord>,
    skipped: Option<Instant>,
}

impl LeaseStream {
    /// Applies the record at `offset`; records applied before change nothing.
    pub fn apply(&mut self, offset: Offset, record: Option<&LeaseRecord>, now: Instant) {
        if offset < self.applied {
            return;
        }
        self.applied = offset.next();
        let Some(record) = record.filter(|record| record.position == offset) else {
            return;
        };
        self.current = Some(CurrentRecord {
            fence: record.fence.unwrap_or(offset),
            record: record.clone(),
            seen: now,
        });
    }

    /// Moves past records that the log no longer keeps, which may hold a lease.
    pub fn skip_truncated(&mut self, first: Offset, now: Instant) {
        if first > self.applied {
            self.applied = first;
            self.current = None;
            self.skipped = Some(now);
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the last record that counts, if any.
    pub fn current(&self) -> Option<&CurrentRecord> {
        self.current.as_ref()
    }

    /// Returns since when the last holder, known or not, has not been heard of.
    ///
    /// `None` means that nobody holds the lease.
    pub fn last_seen(&self) -> Option<Instant> {
        match &self.current {
            Some(current) if current.record.released => None,
            Some(current) => Some(current.seen),
            None => self.skipped,
        }
    }
}
