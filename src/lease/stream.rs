//! State of a lease stream as one router has read it.

use super::LeaseRecord;
use crate::{Instant, Offset};

/// The last valid record of a lease stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentRecord {
    /// Record as read from the stream.
    pub record: LeaseRecord,
    /// Fencing number of the record's lease term.
    pub fence: Offset,
    /// Time at which this router read the record.
    pub read_at: Instant,
}

/// A lease stream as read so far.
#[derive(Debug, Clone, Default)]
pub struct LeaseStream {
    applied: Offset,
    current: Option<CurrentRecord>,
    /// Time at which truncated records were last skipped.
    skipped_at: Option<Instant>,
}

impl LeaseStream {
    /// Applies the record at `offset`; a record that was applied before changes nothing.
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
            read_at: now,
        });
    }

    /// Moves past records before `first`, which the log no longer keeps.
    ///
    /// One of them may have granted the lease to an unknown holder.
    pub fn skip_truncated(&mut self, first: Offset, now: Instant) {
        if first > self.applied {
            self.applied = first;
            self.current = None;
            self.skipped_at = Some(now);
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Returns the last valid record, if any.
    pub fn current(&self) -> Option<&CurrentRecord> {
        self.current.as_ref()
    }

    /// Returns when this router last read a record of the holder, or skipped one of an unknown
    /// holder.
    ///
    /// `None` means that no router holds the lease.
    pub fn last_seen(&self) -> Option<Instant> {
        match &self.current {
            Some(current) if current.record.released => None,
            Some(current) => Some(current.read_at),
            None => self.skipped_at,
        }
    }
}
