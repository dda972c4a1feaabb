//! The fold of the claims streams.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    ClaimId, ClaimPosition, ClaimRecord, IdempotencyKey, Outcome, ResultRecord, StreamRecord,
    KEY_MAX_AGE, MAX_CLOCK_SKEW, PARTITIONS,
};
use crate::{Offset, UnixMillis};

/// Most keys held; the oldest ones are forgotten first.
pub const MAX_KEYS: usize = 100_000;

/// Most bytes of recorded answers held; the oldest keys are forgotten first.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// What the log says about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState<'a> {
    /// No claim is in the log so far.
    Unclaimed,
    /// An earlier claim may have been missed or forgotten.
    Forgotten,
    /// The claim holds the key; there is no result yet.
    Claimed(&'a ClaimId),
    /// The claim that holds the key came to this.
    Done(&'a Outcome),
}

/// What a router that follows the partition of a claim does about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCheck {
    /// Read on first: records up to the end of the log are not applied yet.
    NotCaughtUp,
    /// Refuse: an earlier claim may have been missed or forgotten.
    Forgotten,
    /// Append the claim.
    Unclaimed,
    /// Answer with this.
    Logged(ClaimPosition),
}

#[derive(Debug)]
struct Entry {
    partition: usize,
    claim: ClaimId,
    outcome: Option<Outcome>,
}

/// How far one stream is known.
#[derive(Debug, Default)]
struct Coverage {
    /// Offset of the next record to apply.
    applied: Offset,
    /// Offset before which records were lost to retention.
    first: Offset,
    /// Keys issued at or before this time may have a claim among the lost records.
    floor: UnixMillis,
    /// Whether all records from the first to the end of the log have been applied once.
    read: bool,
}

impl Coverage {
    /// Narrows the time of the lost records: `claim` was made after they had been read.
    fn learn(&mut self, claim: &ClaimRecord) {
        if claim.read >= self.first {
            self.floor = self.floor.min(later(claim.made, 2 * MAX_CLOCK_SKEW));
        }
    }

    fn skip_to(&mut self, first: Offset, now: UnixMillis) {
        if first <= self.applied {
            return;
        }
        self.applied = first;
        self.first = first;
        self.floor = later(now, 2 * MAX_CLOCK_SKEW);
    }
}

/// Claims and results in log order, bounded in time and memory.
#[derive(Debug)]
pub struct ClaimLedger {
    coverage: Box<[Coverage]>,
    entries: HashMap<IdempotencyKey, Entry>,
    by_age: BTreeSet<(UnixMillis, IdempotencyKey)>,
    answer_bytes: usize,
    /// Keys issued at or before this time are no longer held.
    forgotten: UnixMillis,
}

impl ClaimLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        ClaimLedger {
            coverage: (0..PARTITIONS).map(|_| Coverage::default()).collect(),
            entries: HashMap::new(),
            by_age: BTreeSet::new(),
            answer_bytes: 0,
            forgotten: UnixMillis(0),
        }
    }

    /// Applies the record at `offset` of `partition`; records already applied change nothing.
    pub fn apply(&mut self, partition: usize, offset: Offset, record: Option<StreamRecord>) {
        if offset < self.coverage[partition].applied {
            return;
        }
        self.coverage[partition].applied = offset.next();
        match record {
            Some(StreamRecord::Claim(claim)) => self.apply_claim(partition, claim),
            Some(StreamRecord::Result(result)) => self.apply_result(result),
            None => {}
        }
    }

    fn apply_claim(&mut self, partition: usize, claim: ClaimRecord) {
        self.coverage[partition].learn(&claim);
        let claim = claim.id;
        if claim.issued <= self.forgotten || self.entries.contains_key(&claim.key) {
            return;
        }
        let key = claim.key.clone();
        self.by_age.insert((claim.issued, key.clone()));
        let entry = Entry {
            partition,
            claim,
            outcome: None,
        };
        self.entries.insert(key, entry);
    }

    fn apply_result(&mut self, result: ResultRecord) {
        let Some(entry) = self.entries.get_mut(&result.claim.key) else {
            return;
        };
        if entry.claim == result.claim && entry.outcome.is_none() {
            self.answer_bytes += body_len(&result.outcome);
            entry.outcome = Some(result.outcome);
        }
    }

    /// Moves `partition` past records that the log no longer keeps.
    pub fn skip_truncated(&mut self, partition: usize, first: Offset, now: UnixMillis) {
        self.coverage[partition].skip_to(first, now);
    }

    /// Notes that `partition` is applied up to `head`, the end of the log as just read.
    pub fn record_head(&mut self, partition: usize, head: Offset) {
        let coverage = &mut self.coverage[partition];
        coverage.read |= coverage.applied >= head;
    }

    /// Returns whether `partition` has been applied to the end of the log since it is followed.
    pub fn is_caught_up(&self, partition: usize) -> bool {
        self.coverage[partition].read
    }

    /// Drops all that is known of `partition`; it is read from its first record again.
    pub fn reset_partition(&mut self, partition: usize) {
        self.coverage[partition] = Coverage::default();
        let dropped = self
            .entries
            .extract_if(|_, entry| entry.partition == partition);
        for (key, entry) in dropped {
            self.answer_bytes -= entry.outcome.as_ref().map_or(0, body_len);
            self.by_age.remove(&(entry.claim.issued, key));
        }
    }

    /// Forgets keys that are older than the window or exceed the bounds on memory.
    pub fn evict(&mut self, now: UnixMillis) {
        let cutoff = earlier(now, KEY_MAX_AGE + MAX_CLOCK_SKEW);
        self.forgotten = self.forgotten.max(cutoff);
        while self.exceeds_bounds() {
            let Some((issued, key)) = self.by_age.pop_first() else {
                return;
            };
            self.forgotten = self.forgotten.max(issued);
            let entry = self.entries.remove(&key);
            let outcome = entry.and_then(|entry| entry.outcome);
            self.answer_bytes -= outcome.as_ref().map_or(0, body_len);
        }
    }

    fn exceeds_bounds(&self) -> bool {
        let oldest = self.by_age.first();
        oldest.is_some_and(|(issued, _)| *issued <= self.forgotten)
            || self.entries.len() > MAX_KEYS
            || self.answer_bytes > MAX_ANSWER_BYTES
    }

    /// Returns the offset of the next record to apply in `partition`.
    pub fn applied(&self, partition: usize) -> Offset {
        self.coverage[partition].applied
    }

    /// Returns what the log says about `key`, which was issued at `issued`.
    pub fn key_state(&self, key: &IdempotencyKey, issued: UnixMillis) -> KeyState<'_> {
        let entry = self.entries.get(key);
        let outcome = entry.and_then(|entry| entry.outcome.as_ref());
        if let Some(outcome @ Outcome::Answered(_)) = outcome {
            return KeyState::Done(outcome);
        }
        let floor = self.coverage[key.partition()].floor.max(self.forgotten);
        if issued <= floor {
            return KeyState::Forgotten;
        }
        match (entry, outcome) {
            (None, _) => KeyState::Unclaimed,
            (Some(_), Some(outcome)) => KeyState::Done(outcome),
            (Some(entry), None) => KeyState::Claimed(&entry.claim),
        }
    }

    /// Returns what the log shows of `claim`; `None` while it shows no first claim.
    pub fn claim_position(&self, claim: &ClaimId) -> Option<ClaimPosition> {
        match self.key_state(&claim.key, claim.issued) {
            KeyState::Unclaimed | KeyState::Forgotten => None,
            KeyState::Claimed(first) if first == claim => Some(ClaimPosition::First),
            KeyState::Claimed(_) => Some(ClaimPosition::Duplicate(None)),
            KeyState::Done(outcome) => Some(ClaimPosition::Duplicate(Some(outcome.clone()))),
        }
    }

    /// Decides what to do about `claim` before it is appended.
    pub fn check_claim(&self, claim: &ClaimId) -> ClaimCheck {
        if !self.is_caught_up(claim.key.partition()) {
            return ClaimCheck::NotCaughtUp;
        }
        match (
            self.key_state(&claim.key, claim.issued),
            self.claim_position(claim),
        ) {
            (KeyState::Forgotten, _) => ClaimCheck::Forgotten,
            (_, Some(shown)) => ClaimCheck::Logged(shown),
            (_, None) => ClaimCheck::Unclaimed,
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Default for ClaimLedger {
    fn default() -> Self {
        ClaimLedger::new()
    }
}

fn body_len(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered(answer) => answer.body.as_ref().map_or(0, String::len),
        Outcome::NotRun => 0,
    }
}

fn later(time: UnixMillis, by: Duration) -> UnixMillis {
    UnixMillis(time.0.saturating_add(by.as_millis() as u64))
}

fn earlier(time: UnixMillis, by: Duration) -> UnixMillis {
    UnixMillis(time.0.saturating_sub(by.as_millis() as u64))
}
