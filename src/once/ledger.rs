//! The fold of the claims streams.

use std::collections::HashMap;

use super::{ClaimRecord, Key, Record, Recorded, PARTITIONS};
use crate::Offset;

/// What the log says about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// No claim is in the log so far.
    Free,
    /// The claim holds the key; there is no result yet.
    Claimed(ClaimRecord),
    /// The call has run with this answer.
    Done(Recorded),
}

#[derive(Debug)]
struct Entry {
    claim: ClaimRecord,
    answer: Option<Recorded>,
}

/// Claims and results in log order.
#[derive(Debug, Default)]
pub struct Ledger {
    applied: [Offset; PARTITIONS],
    entries: HashMap<Key, Entry>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Ledger::default()
    }

    /// Applies the record at `offset` of `partition`; records already applied change nothing.
    pub fn apply(&mut self, partition: usize, offset: Offset, record: Option<Record>) {
        if offset < self.applied[partition] {
            return;
        }
        self.applied[partition] = offset.next();
        match record {
            Some(Record::Claim(claim)) => self.apply_claim(claim),
            Some(Record::Result(result)) => self.apply_result(&result.claim, result.answer),
            None => {}
        }
    }

    fn apply_claim(&mut self, claim: ClaimRecord) {
        let first = |claim| Entry {
            claim,
            answer: None,
        };
        self.entries
            .entry(claim.key.clone())
            .or_insert_with(|| first(claim));
    }

    fn apply_result(&mut self, claim: &ClaimRecord, answer: Recorded) {
        if let Some(entry) = self.entries.get_mut(&claim.key) {
            if entry.claim == *claim {
                entry.answer.get_or_insert(answer);
            }
        }
    }

    /// Moves `partition` past records that the log no longer keeps.
    pub fn skip_to(&mut self, partition: usize, first: Offset) {
        let applied = &mut self.applied[partition];
        *applied = first.max(*applied);
    }

    /// Returns the offset of the next record to apply in `partition`.
    pub fn applied(&self, partition: usize) -> Offset {
        self.applied[partition]
    }

    /// Returns what the log says about `key`.
    pub fn standing(&self, key: &Key) -> Standing {
        match self.entries.get(key) {
            None => Standing::Free,
            Some(entry) => match &entry.answer {
                Some(answer) => Standing::Done(answer.clone()),
                None => Standing::Claimed(entry.claim.clone()),
            },
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
