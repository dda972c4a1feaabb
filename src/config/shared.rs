//! The configuration in force at this router, and the records that led to it.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use tokio::sync::watch;

use super::{
    decode, ApplyOutcome, ConfigSinceReply, ConfigSinceRequest, ConfigState, EncodedRecord,
};
use crate::{sync::lock, Offset};

/// Most records kept for peers that cannot read the log.
const KEPT_RECORDS: usize = 256;

/// Most bytes of records in one answer to a peer, and of one part of a state.
const PART_LEN: usize = 512 * 1024;

/// The configuration in force, shared by the tasks of a router.
#[derive(Debug)]
pub struct Config {
    inner: Mutex<Inner>,
    applied: watch::Sender<Offset>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<ConfigState>,
    is_known: bool,
    log_first: Offset,
    recent: VecDeque<EncodedRecord>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            inner: Mutex::default(),
            applied: watch::Sender::new(Offset(0)),
        }
    }
}

impl Config {
    /// Returns the state in force.
    pub fn current(&self) -> Arc<ConfigState> {
        lock(&self.inner).state.clone()
    }

    /// Returns a receiver that wakes when the state advances.
    pub fn watch(&self) -> watch::Receiver<Offset> {
        self.applied.subscribe()
    }

    /// Returns whether this router has once held the whole configuration.
    pub fn is_synced(&self) -> bool {
        lock(&self.inner).is_known
    }

    /// The whole configuration is held.
    pub fn set_synced(&self) {
        lock(&self.inner).is_known = true;
    }

    /// Returns the oldest record that the log was last seen to keep.
    pub fn oldest_log_offset(&self) -> Offset {
        lock(&self.inner).log_first
    }

    /// The log keeps records from `first` on.
    pub fn set_oldest_log_offset(&self, first: Offset) {
        lock(&self.inner).log_first = first;
    }

    /// Applies records in offset order and returns the state after them.
    pub fn apply(&self, records: &[EncodedRecord]) -> Arc<ConfigState> {
        let state = {
            let mut inner = lock(&self.inner);
            records.iter().for_each(|record| inner.apply(record));
            inner.state.clone()
        };
        self.applied.send_replace(state.applied);
        state
    }

    /// Takes over a state that is ahead of the one in force; returns whether it was.
    pub fn adopt(&self, state: ConfigState) -> bool {
        let applied = state.applied;
        {
            let mut inner = lock(&self.inner);
            if applied <= inner.state.applied {
                return false;
            }
            inner.state = Arc::new(state);
            inner.recent.clear();
        }
        self.applied.send_replace(applied);
        true
    }

    /// Answers a peer that holds the configuration up to `req.applied`.
    pub fn changes_since(&self, req: &ConfigSinceRequest) -> ConfigSinceReply {
        let (state, records) = {
            let inner = lock(&self.inner);
            if !inner.is_known {
                return ConfigSinceReply::Unknown;
            }
            (inner.state.clone(), inner.records_since(req.applied))
        };
        if req.applied >= state.applied {
            return ConfigSinceReply::UpToDate(state.applied);
        }
        match records {
            Some(records) => ConfigSinceReply::Records(records),
            None => state_part(&state, req.chunk),
        }
    }
}

impl Inner {
    fn apply(&mut self, record: &EncodedRecord) {
        let decoded = decode(record);
        let state = Arc::make_mut(&mut self.state);
        let outcome = state.apply(record.offset, &decoded);
        log_outcome(record.offset, &outcome);
        if matches!(outcome, ApplyOutcome::Gap) || state.applied != record.offset.next() {
            return;
        }
        if self
            .recent
            .back()
            .is_some_and(|last| last.offset >= record.offset)
        {
            return;
        }
        self.recent.push_back(record.clone());
        if self.recent.len() > KEPT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Returns the first of the records from `from` on, if all of them are kept.
    fn records_since(&self, from: Offset) -> Option<Vec<EncodedRecord>> {
        if self.recent.front()?.offset > from {
            return None;
        }
        let mut left = PART_LEN;
        let mut records = Vec::new();
        for record in self.recent.iter().filter(|record| record.offset >= from) {
            let Some(rest) = left.checked_sub(record.data.len()) else {
                break;
            };
            left = rest;
            records.push(record.clone());
        }
        (!records.is_empty()).then_some(records)
    }
}

fn log_outcome(offset: Offset, outcome: &ApplyOutcome) {
    match outcome {
        ApplyOutcome::VoidCheckpoint | ApplyOutcome::VoidStep | ApplyOutcome::Gap => {
            log::warn!("config offset={offset} outcome={outcome:?}");
        }
        ApplyOutcome::Unchanged => log::debug!("config offset={offset} outcome={outcome:?}"),
        _ => log::info!("config offset={offset} outcome={outcome:?}"),
    }
}

fn state_part(state: &ConfigState, part: u32) -> ConfigSinceReply {
    let text = serde_json::to_vec(state).expect("a state is plain data");
    let parts = text.len().div_ceil(PART_LEN) as u32;
    let bytes = text.chunks(PART_LEN).nth(part as usize);
    ConfigSinceReply::State {
        applied: state.applied,
        parts,
        bytes: bytes.unwrap_or_default().to_vec(),
    }
}
