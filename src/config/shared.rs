//! The configuration in force at this router, and its most recent records.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use tokio::sync::watch;

use super::{
    decode, ApplyOutcome, ConfigSinceReply, ConfigSinceRequest, ConfigState, EncodedRecord,
};
use crate::{sync::lock, Offset};

/// Maximum number of records kept for peers that cannot read the log.
const MAX_RECENT_RECORDS: usize = 256;

/// Maximum size of the records in one reply to a peer, and of one chunk of a state.
const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// The configuration in force, shared by the tasks of a router.
#[derive(Debug)]
pub struct Config {
    inner: Mutex<Inner>,
    applied: watch::Sender<Offset>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<ConfigState>,
    is_synced: bool,
    oldest_log_offset: Offset,
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
    pub fn subscribe(&self) -> watch::Receiver<Offset> {
        self.applied.subscribe()
    }

    /// Returns whether this router has caught up with the configuration since it started.
    pub fn is_synced(&self) -> bool {
        lock(&self.inner).is_synced
    }

    /// Marks this router as caught up with the configuration.
    pub fn set_synced(&self) {
        lock(&self.inner).is_synced = true;
    }

    /// Returns the offset of the oldest record that the log kept at the last read.
    pub fn oldest_log_offset(&self) -> Offset {
        lock(&self.inner).oldest_log_offset
    }

    /// Sets the offset of the oldest record that the log keeps.
    pub fn set_oldest_log_offset(&self, first: Offset) {
        lock(&self.inner).oldest_log_offset = first;
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

    /// Replaces the state in force by `state` if that is ahead; returns whether it was.
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

    /// Returns the reply to a peer that has applied the configuration up to `req.applied`.
    pub fn changes_since(&self, req: &ConfigSinceRequest) -> ConfigSinceReply {
        let (state, records) = {
            let inner = lock(&self.inner);
            if !inner.is_synced {
                return ConfigSinceReply::Unknown;
            }
            (inner.state.clone(), inner.records_since(req.applied))
        };
        if req.applied >= state.applied {
            return ConfigSinceReply::UpToDate(state.applied);
        }
        match records {
            Some(records) => ConfigSinceReply::Records(records),
            None => state_chunk(&state, req.chunk),
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
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Returns records from `from` on, up to [`MAX_CHUNK_BYTES`] in total.
    ///
    /// Returns `None` when the record at `from` is no longer kept.
    fn records_since(&self, from: Offset) -> Option<Vec<EncodedRecord>> {
        if self.recent.front()?.offset > from {
            return None;
        }
        let mut remaining_bytes = MAX_CHUNK_BYTES;
        let mut records = Vec::new();
        for record in self.recent.iter().filter(|record| record.offset >= from) {
            let Some(rest) = remaining_bytes.checked_sub(record.data.len()) else {
                break;
            };
            remaining_bytes = rest;
            records.push(record.clone());
        }
        (!records.is_empty()).then_some(records)
    }
}

fn log_outcome(offset: Offset, outcome: &ApplyOutcome) {
    match outcome {
        ApplyOutcome::VoidCheckpoint | ApplyOutcome::VoidStep | ApplyOutcome::Gap => {
            log::warn!("config record handled offset={offset} outcome={outcome:?}");
        }
        ApplyOutcome::Unchanged => {
            log::debug!("config record handled offset={offset} outcome={outcome:?}")
        }
        _ => log::info!("config record handled offset={offset} outcome={outcome:?}"),
    }
}

fn state_chunk(state: &ConfigState, index: u32) -> ConfigSinceReply {
    let text = serde_json::to_vec(state).expect("a configuration state serializes to JSON");
    let parts = text.len().div_ceil(MAX_CHUNK_BYTES) as u32;
    let bytes = text.chunks(MAX_CHUNK_BYTES).nth(index as usize);
    ConfigSinceReply::State {
        applied: state.applied,
        parts,
        bytes: bytes.unwrap_or_default().to_vec(),
    }
}
