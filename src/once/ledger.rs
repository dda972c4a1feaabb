//! Claim ledger: the fold of the claims streams.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    ClaimId, ClaimPosition, ClaimRecord, IdempotencyKey, Outcome, ResultRecord, StreamRecord,
    KEY_MAX_AGE, MAX_CLOCK_SKEW, PARTITIONS,
};
use crate::{Offset, UnixMillis};

/// Maximum number of keys held; the oldest keys are forgotten first.
pub const MAX_KEYS: usize = 100_000;

/// Maximum total size of the recorded bodies held; the oldest keys are forgotten first.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// State of a key according to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState<'a> {
    /// No claim of the key is in the log so far.
    Unclaimed,
    /// An earlier claim of the key may have been missed or forgotten.
    Forgotten,
    /// This is the first claim of the key, and its outcome is not recorded yet.
    Claimed(&'a ClaimId),
    /// The first claim of the key ended with this outcome.
    Done(&'a Outcome),
}

/// How a router that follows the partition of a claim has to handle the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCheck {
    /// Wait: the partition has not been applied to the end of its stream.
    NotCaughtUp,
    /// Refuse: an earlier claim of the key may have been missed or forgotten.
    Forgotten,
    /// Append: no claim of the key is in the log.
    Unclaimed,
    /// Answer: the first claim of the key is in the log, and the claim has this position.
    Logged(ClaimPosition),
}

/// First claim of a key, and its outcome once it is recorded.
#[derive(Debug)]
struct Entry {
    partition: usize,
    claim: ClaimId,
    outcome: Option<Outcome>,
}

/// Range of the records of one stream that the ledger covers.
#[derive(Debug, Default)]
struct Coverage {
    /// Offset of the next record to apply.
    applied: Offset,
    /// Offset before which the log truncated records that were not applied.
    first: Offset,
    /// Keys issued at or before this time may have a claim among the truncated records.
    floor: UnixMillis,
    /// Whether the records have been applied to the end of the stream at least once.
    caught_up: bool,
}

impl Coverage {
    /// Lowers `floor` if `claim` was made after its router had read all truncated records.
    ///
    /// Such a claim is newer than every truncated record, up to the skew of two clocks.
    fn lower_floor(&mut self, claim: &ClaimRecord) {
        if claim.read >= self.first {
            self.floor = self.floor.min(add_time(claim.made, 2 * MAX_CLOCK_SKEW));
        }
    }

    /// Moves on to `first`; records that were not applied before it are lost.
    fn skip_truncated_until(&mut self, first: Offset, now: UnixMillis) {
        if first <= self.applied {
            return;
        }
        self.applied = first;
        self.first = first;
        self.floor = add_time(now, 2 * MAX_CLOCK_SKEW);
    }
}

/// First claims of the keys and their outcomes, bounded in age and memory.
#[derive(Debug)]
pub struct ClaimLedger {
    coverage: Box<[Coverage]>,
    entries: HashMap<IdempotencyKey, Entry>,
    /// Keys by the time of their issue.
    by_age: BTreeSet<(UnixMillis, IdempotencyKey)>,
    /// Total size of the recorded bodies.
    answer_bytes: usize,
    /// Keys issued at or before this time are no longer held.
    forgotten_until: UnixMillis,
}

impl ClaimLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        ClaimLedger {
            coverage: (0..PARTITIONS).map(|_| Coverage::default()).collect(),
            entries: HashMap::new(),
            by_age: BTreeSet::new(),
            answer_bytes: 0,
            forgotten_until: UnixMillis(0),
        }
    }

    /// Applies the record at `offset` of `partition`, unless it has already been applied.
    ///
    /// `None` stands for a record that could not be decoded.
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
        self.coverage[partition].lower_floor(&claim);
        let claim = claim.id;
        if claim.issued <= self.forgotten_until || self.entries.contains_key(&claim.key) {
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

    /// Moves `partition` on to `first`, past the records that the log has truncated.
    pub fn skip_truncated(&mut self, partition: usize, first: Offset, now: UnixMillis) {
        self.coverage[partition].skip_truncated_until(first, now);
    }

    /// Marks `partition` as caught up if it is applied up to `head`, the end of its stream.
    pub fn record_head(&mut self, partition: usize, head: Offset) {
        let coverage = &mut self.coverage[partition];
        coverage.caught_up |= coverage.applied >= head;
    }

    /// Returns whether `partition` has been applied to the end of its stream since its last reset.
    pub fn is_caught_up(&self, partition: usize) -> bool {
        self.coverage[partition].caught_up
    }

    /// Drops all state of `partition`, which is then read again from its first record.
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

    /// Forgets keys that are too old to run, and the oldest keys beyond the bounds on memory.
    pub fn evict(&mut self, now: UnixMillis) {
        let cutoff = subtract_time(now, KEY_MAX_AGE + MAX_CLOCK_SKEW);
        self.forgotten_until = self.forgotten_until.max(cutoff);
        while self.exceeds_bounds() {
            let Some((issued, key)) = self.by_age.pop_first() else {
                return;
            };
            self.forgotten_until = self.forgotten_until.max(issued);
            let entry = self.entries.remove(&key);
            let outcome = entry.and_then(|entry| entry.outcome);
            self.answer_bytes -= outcome.as_ref().map_or(0, body_len);
        }
    }

    fn exceeds_bounds(&self) -> bool {
        let oldest = self.by_age.first();
        oldest.is_some_and(|(issued, _)| *issued <= self.forgotten_until)
            || self.entries.len() > MAX_KEYS
            || self.answer_bytes > MAX_ANSWER_BYTES
    }

    /// Returns the offset of the next record to apply in `partition`.
    pub fn applied(&self, partition: usize) -> Offset {
        self.coverage[partition].applied
    }

    /// Returns the state of `key`, which was issued at `issued`.
    pub fn key_state(&self, key: &IdempotencyKey, issued: UnixMillis) -> KeyState<'_> {
        let entry = self.entries.get(key);
        let outcome = entry.and_then(|entry| entry.outcome.as_ref());
        if let Some(outcome @ Outcome::Answered(_)) = outcome {
            return KeyState::Done(outcome);
        }
        let floor = self.coverage[key.partition()]
            .floor
            .max(self.forgotten_until);
        if issued <= floor {
            return KeyState::Forgotten;
        }
        match (entry, outcome) {
            (None, _) => KeyState::Unclaimed,
            (Some(_), Some(outcome)) => KeyState::Done(outcome),
            (Some(entry), None) => KeyState::Claimed(&entry.claim),
        }
    }

    /// Returns the position of `claim`, or `None` while no first claim of its key is known.
    pub fn claim_position(&self, claim: &ClaimId) -> Option<ClaimPosition> {
        match self.key_state(&claim.key, claim.issued) {
            KeyState::Unclaimed | KeyState::Forgotten => None,
            KeyState::Claimed(first) if first == claim => Some(ClaimPosition::First),
            KeyState::Claimed(_) => Some(ClaimPosition::Duplicate(None)),
            KeyState::Done(outcome) => Some(ClaimPosition::Duplicate(Some(outcome.clone()))),
        }
    }

    /// Decides how to handle `claim` before it is appended.
    pub fn check_claim(&self, claim: &ClaimId) -> ClaimCheck {
        if !self.is_caught_up(claim.key.partition()) {
            return ClaimCheck::NotCaughtUp;
        }
        match (
            self.key_state(&claim.key, claim.issued),
            self.claim_position(claim),
        ) {
            (KeyState::Forgotten, _) => ClaimCheck::Forgotten,
            (_, Some(position)) => ClaimCheck::Logged(position),
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

fn add_time(time: UnixMillis, by: Duration) -> UnixMillis {
    UnixMillis(time.0.saturating_add(by.as_millis() as u64))
}

fn subtract_time(time: UnixMillis, by: Duration) -> UnixMillis {
    UnixMillis(time.0.saturating_sub(by.as_millis() as u64))
}
