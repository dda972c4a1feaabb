//! Life cycle of a lease from the view of one router.

use std::time::Duration;

use super::{LeaseRecord, LeaseStream};
use crate::{Incarnation, Instant, Offset, RouterName};

/// An incarnation of a router that may hold a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the router.
    pub name: RouterName,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
}

/// Durations of a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// Time for which a record grants the lease to its author, measured from before its append.
    pub term: Duration,
    /// Extra time that other routers wait after the term, for clocks of different speeds.
    pub margin: Duration,
    /// Age of the holder's last record at which it renews the lease.
    pub renew_after: Duration,
    /// Extra time that a candidate waits after the one ranked before it.
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

/// A record whose append was sent, and which may be in the stream.
#[derive(Debug, Clone)]
pub struct PendingRecord {
    /// Record that was sent.
    pub record: LeaseRecord,
    /// Time at which the append was about to be sent.
    pub sent_at: Instant,
}

/// Stage of a router that waits until the lease expires, then bids for it.
#[derive(Debug, Default)]
pub struct Candidate {
    pending: Vec<PendingRecord>,
}

/// Stage of a router that holds the lease and may send orders.
#[derive(Debug)]
pub struct Held {
    fence: Offset,
    expires_at: Instant,
    renewed_at: Instant,
    pending: Vec<PendingRecord>,
}

/// Stage of a router that held the lease and must not send orders any more.
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

/// A lease at any of its stages, as it is after records were read or time has passed.
#[derive(Debug)]
pub enum LeaseState {
    /// The router waits until the lease expires, then bids for it.
    Candidate(Lease<Candidate>),
    /// The router holds the lease and may send orders.
    Held(Lease<Held>),
    /// The router held the lease and must not send orders any more.
    Lapsed(Lease<Lapsed>),
}

/// Records of one page with their offsets; `None` for one that cannot be decoded.
pub type Records<'a> = &'a [(Offset, Option<LeaseRecord>)];

impl<S> Lease<S> {
    fn with_stage<T>(self, stage: T) -> Lease<T> {
        Lease {
            me: self.me,
            timing: self.timing,
            stream: self.stream,
            next_nonce: self.next_nonce,
            stage,
        }
    }

    /// Returns the state of the lease stream as read so far.
    pub fn stream(&self) -> &LeaseStream {
        &self.stream
    }

    /// Returns the durations of the lease.
    pub fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Moves past records before `first`, which the log no longer keeps.
    pub fn skip_truncated(&mut self, first: Offset, now: Instant) {
        self.stream.skip_truncated(first, now);
    }

    fn apply(&mut self, records: Records<'_>, now: Instant) {
        for (offset, record) in records {
            self.stream.apply(*offset, record.as_ref(), now);
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me.name && record.incarnation == self.me.incarnation
    }

    fn next_record(&mut self, fence: Option<Offset>, released: bool) -> LeaseRecord {
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

    /// Returns the record of `pending` that is the current record of the stream, with the
    /// fencing number of its term.
    fn confirmed(&self, pending: &[PendingRecord]) -> Option<(PendingRecord, Offset)> {
        let current = self.stream.current()?;
        let is_current = |pending: &&PendingRecord| pending.record == current.record;
        let confirmed = pending.iter().find(is_current)?;
        Some((confirmed.clone(), current.fence))
    }
}

impl Lease<Candidate> {
    /// Creates the lease of a candidate that has read nothing of the stream.
    pub fn new(me: LeaseHolder, timing: LeaseTiming) -> Self {
        Lease {
            me,
            timing,
            stream: LeaseStream::default(),
            next_nonce: 0,
            stage: Candidate::default(),
        }
    }

    /// Returns when the candidate of rank `rank`, counted from 0, may bid, plus `jitter`.
    pub fn bid_at(&self, rank: usize, jitter: Duration) -> Instant {
        let Some(seen) = self.stream.last_seen() else {
            return Instant::default();
        };
        let stagger = self.timing.stagger * rank as u32;
        seen + self.timing.term + self.timing.margin + stagger + jitter
    }

    /// Returns the bid to append, or `None` while another router may hold the lease.
    ///
    /// The caller must have read the stream up to its head. A bid that loses is void, so it
    /// is safe to bid again at any time.
    pub fn bid(&mut self, now: Instant) -> Option<LeaseRecord> {
        if now < self.bid_at(0, Duration::ZERO) {
            return None;
        }
        let term = self.timing.term;
        let is_unexpired = |bid: &PendingRecord| now < bid.sent_at + term;
        self.stage.pending.retain(is_unexpired);
        let record = self.next_record(None, false);
        self.stage.pending.push(PendingRecord {
            record: record.clone(),
            sent_at: now,
        });
        Some(record)
    }

    /// Applies records of the stream; the lease is held if the current record of the stream is an
    /// unexpired bid of this router.
    #[must_use]
    pub fn observe(mut self, records: Records<'_>, now: Instant) -> LeaseState {
        self.apply(records, now);
        if let Some((bid, fence)) = self.confirmed(&self.stage.pending) {
            let expires_at = bid.sent_at + self.timing.term;
            let stage = Held {
                fence,
                expires_at,
                renewed_at: bid.sent_at,
                pending: Vec::new(),
            };
            return self.with_stage(stage).expire(now);
        }
        let next = self.stream.applied();
        self.stage.pending.retain(|bid| bid.record.position >= next);
        LeaseState::Candidate(self)
    }
}

impl Lease<Held> {
    /// Returns the fencing number of the lease term.
    pub fn fence(&self) -> Offset {
        self.stage.fence
    }

    /// Returns when the lease term ends unless it is renewed.
    pub fn expires_at(&self) -> Instant {
        self.stage.expires_at
    }

    /// Returns when the next renewal is due.
    pub fn renew_at(&self) -> Instant {
        self.stage.renewed_at + self.timing.renew_after
    }

    /// Returns the renewal to append, which the stream has to confirm.
    pub fn renew(&mut self, now: Instant) -> LeaseRecord {
        let record = self.next_record(Some(self.stage.fence), false);
        self.stage.renewed_at = now;
        self.stage.pending.push(PendingRecord {
            record: record.clone(),
            sent_at: now,
        });
        record
    }

    /// Applies records of the stream; a valid record of another router ends the lease term.
    #[must_use]
    pub fn observe(mut self, records: Records<'_>, now: Instant) -> LeaseState {
        self.apply(records, now);
        if let Some((renewal, _)) = self.confirmed(&self.stage.pending) {
            let expires_at = renewal.sent_at + self.timing.term;
            self.stage.expires_at = self.stage.expires_at.max(expires_at);
        }
        let next = self.stream.applied();
        self.stage
            .pending
            .retain(|renewal| renewal.record.position >= next);
        let current = self.stream.current();
        if !current.is_some_and(|current| self.is_own(&current.record)) {
            return LeaseState::Lapsed(self.with_stage(Lapsed));
        }
        self.expire(now)
    }

    /// Ends the lease term if its time is over.
    #[must_use]
    pub fn expire(self, now: Instant) -> LeaseState {
        if now < self.stage.expires_at {
            LeaseState::Held(self)
        } else {
            LeaseState::Lapsed(self.with_stage(Lapsed))
        }
    }

    /// Releases the lease; returns the record to append for the other routers.
    #[must_use]
    pub fn release(mut self) -> (LeaseRecord, Lease<Lapsed>) {
        let record = self.next_record(Some(self.stage.fence), true);
        (record, self.with_stage(Lapsed))
    }
}

impl Lease<Lapsed> {
    /// Turns into a candidate, which has to wait for the lease like any other.
    #[must_use]
    pub fn into_candidate(self) -> Lease<Candidate> {
        self.with_stage(Candidate::default())
    }
}
