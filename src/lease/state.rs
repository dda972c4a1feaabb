//! Life cycle of a lease as one router sees it.

use std::time::Duration;

use super::{LeaseRecord, LeaseStream};
use crate::{Incarnation, Instant, Offset, RouterName};

/// One life of a router that may hold a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the router.
    pub name: RouterName,
    /// Life of the router.
    pub incarnation: Incarnation,
}

/// Durations of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// How long a record lets its author hold the lease, from before its append.
    pub term: Duration,
    /// What others wait beyond the term, for clocks that run at different speeds.
    pub margin: Duration,
    /// Age of the last record at which the holder renews.
    pub renew_after: Duration,
    /// What each candidate waits beyond the one ranked before it.
    pub stagger: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            term: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            renew_after: Duration::from_secs(3),
            stagger: Duration::from_secs(2),
        }
    }
}

/// A record that was sent and may be in the stream.
#[derive(Debug, Clone)]
pub struct PendingRecord {
    /// The record.
    pub record: LeaseRecord,
    /// Time before its append.
    pub sent: Instant,
}

/// Waits until the lease lapses, then bids.
#[derive(Debug, Default)]
pub struct Candidate {
    pending: Vec<PendingRecord>,
}

/// May order.
#[derive(Debug)]
pub struct Held {
    fence: Offset,
    until: Instant,
    renewed: Instant,
    pending: Vec<PendingRecord>,
}

/// Held the lease, and must not order any more.
#[derive(Debug)]
pub struct Lapsed;

/// The lease of one group at stage `S`; only a [`Lease<Held>`] has a fencing number.
#[derive(Debug)]
pub struct Lease<S> {
    me: LeaseHolder,
    timing: LeaseTiming,
    stream: LeaseStream,
    next_nonce: u64,
    stage: S,
}

/// A lease after records were read or time has passed.
#[derive(Debug)]
pub enum LeaseState {
    /// See [`Candidate`].
    Candidate(Lease<Candidate>),
    /// See [`Held`].
    Held(Lease<Held>),
    /// See [`Lapsed`].
    Lapsed(Lease<Lapsed>),
}

/// Records of one page with their offsets; `None` for one that cannot be read.
pub type Records<'a> = &'a [(Offset, Option<LeaseRecord>)];

impl<S> Lease<S> {
    fn at<T>(self, stage: T) -> Lease<T> {
        Lease {
            me: self.me,
            timing: self.timing,
            stream: self.stream,
            next_nonce: self.next_nonce,
            stage,
        }
    }

    /// Returns what was read of the stream.
    pub fn stream(&self) -> &LeaseStream {
        &self.stream
    }

    /// Returns the durations.
    pub fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Moves past records that the log no longer keeps.
    pub fn skip_truncated(&mut self, first: Offset, now: Instant) {
        self.stream.skip_truncated(first, now);
    }

    fn read(&mut self, records: Records<'_>, now: Instant) {
        for (offset, record) in records {
            self.stream.apply(*offset, record.as_ref(), now);
        }
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me.name && record.incarnation == self.me.incarnation
    }

    fn record(&mut self, fence: Option<Offset>, released: bool) -> LeaseRecord {
        self.next_nonce += 1;
        LeaseRecord {
            holder: self.me.name.clone(),
            incarnation: self.me.incarnation,
            nonce: self.next_nonce,
            position: self.stream.applied(),
            fence,
            released,
        }
    }

    /// Returns the bid among `pending` that is the last record that counts.
    fn confirmed(&self, pending: &[PendingRecord]) -> Option<(PendingRecord, Offset)> {
        let current = self.stream.current()?;
        let sent = |bid: &&PendingRecord| bid.record == current.record;
        let bid = pending.iter().find(sent)?;
        Some((bid.clone(), current.fence))
    }
}

impl Lease<Candidate> {
    /// Creates a lease that has read nothing.
    pub fn new(me: LeaseHolder, terms: LeaseTiming) -> Self {
        Lease {
            me,
            timing: terms,
            stream: LeaseStream::default(),
            next_nonce: 0,
            stage: Candidate::default(),
        }
    }

    /// Returns when the candidate ranked `rank` from 0 may bid, plus `jitter`.
    pub fn bid_at(&self, rank: usize, jitter: Duration) -> Instant {
        let Some(seen) = self.stream.last_seen() else {
            return Instant::default();
        };
        let stagger = self.timing.stagger * rank as u32;
        seen + self.timing.term + self.timing.margin + stagger + jitter
    }

    /// Returns the bid to append, or `None` while another may hold the lease.
    ///
    /// The caller has read the stream up to its head. A bid that loses is void, so
    /// bidding again is safe at any time.
    pub fn bid(&mut self, now: Instant) -> Option<LeaseRecord> {
        if now < self.bid_at(0, Duration::ZERO) {
            return None;
        }
        let term = self.timing.term;
        let open = |bid: &PendingRecord| now < bid.sent + term;
        self.stage.pending.retain(open);
        let record = self.record(None, false);
        self.stage.pending.push(PendingRecord {
            record: record.clone(),
            sent: now,
        });
        Some(record)
    }

    /// Reads records of the stream; the lease is held when one of them is a bid in force.
    #[must_use]
    pub fn observe(mut self, records: Records<'_>, now: Instant) -> LeaseState {
        self.read(records, now);
        if let Some((bid, fence)) = self.confirmed(&self.stage.pending) {
            let until = bid.sent + self.timing.term;
            let stage = Held {
                fence,
                until,
                renewed: bid.sent,
                pending: Vec::new(),
            };
            return self.at(stage).expire(now);
        }
        let open = self.stream.applied();
        self.stage.pending.retain(|bid| bid.record.position >= open);
        LeaseState::Candidate(self)
    }
}

impl Lease<Held> {
    /// Returns the fencing number of the tenure.
    pub fn fence(&self) -> Offset {
        self.stage.fence
    }

    /// Returns when the tenure ends unless it is renewed.
    pub fn expires_at(&self) -> Instant {
        self.stage.until
    }

    /// Returns when the next renewal is due.
    pub fn renew_at(&self) -> Instant {
        self.stage.renewed + self.timing.renew_after
    }

    /// Returns the renewal to append.
    pub fn renew(&mut self, now: Instant) -> LeaseRecord {
        let record = self.record(Some(self.stage.fence), false);
        self.stage.renewed = now;
        self.stage.pending.push(PendingRecord {
            record: record.clone(),
            sent: now,
        });
        record
    }

    /// Reads records of the stream; a record of another router ends the tenure.
    #[must_use]
    pub fn observe(mut self, records: Records<'_>, now: Instant) -> LeaseState {
        self.read(records, now);
        if let Some((bid, _)) = self.confirmed(&self.stage.pending) {
            let until = bid.sent + self.timing.term;
            self.stage.until = self.stage.until.max(until);
        }
        let open = self.stream.applied();
        self.stage.pending.retain(|bid| bid.record.position >= open);
        let current = self.stream.current();
        if !current.is_some_and(|current| self.is_mine(&current.record)) {
            return LeaseState::Lapsed(self.at(Lapsed));
        }
        self.expire(now)
    }

    /// Ends the tenure when its time is over.
    #[must_use]
    pub fn expire(self, now: Instant) -> LeaseState {
        if now < self.stage.until {
            LeaseState::Held(self)
        } else {
            LeaseState::Lapsed(self.at(Lapsed))
        }
    }

    /// Gives the lease up; returns the record that tells the others.
    #[must_use]
    pub fn release(mut self) -> (LeaseRecord, Lease<Lapsed>) {
        let record = self.record(Some(self.stage.fence), true);
        (record, self.at(Lapsed))
    }
}

impl Lease<Lapsed> {
    /// Becomes a candidate again, which waits like any other.
    #[must_use]
    pub fn into_candidate(self) -> Lease<Candidate> {
        self.at(Candidate::default())
    }
}
