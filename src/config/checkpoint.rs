//! When a checkpoint is due, and which one a router may start from.

use std::time::Duration;

use super::{Checkpoint, ConfigState, Record};
use crate::{peer::Authenticator, Offset, UnixMillis};

/// Most records since the last checkpoint.
const CHECKPOINT_RECORDS: u64 = 256;

/// Longest time since the last checkpoint; the log's retention must be longer.
const CHECKPOINT_AGE: Duration = Duration::from_secs(600);

/// Fewest records that may be left between the oldest kept one and the last checkpoint.
const RETENTION_MARGIN: u64 = 64;

/// Returns whether the state should be written to the stream.
///
/// `first` is the oldest record that the log still keeps.
pub fn checkpoint_due(state: &ConfigState, first: Offset, now: UnixMillis) -> bool {
    if state.applied == Offset(0) {
        return false;
    }
    let Some(last) = state.checkpoint else {
        return first.0 > 0 || state.applied.0 >= CHECKPOINT_RECORDS;
    };
    let records = state.applied.0 - last.offset.0;
    let is_expiring = first.0 > 0 && last.offset.0 < first.0 + RETENTION_MARGIN && records > 1;
    is_expiring || records >= CHECKPOINT_RECORDS || now.since(last.at) >= CHECKPOINT_AGE
}

impl Checkpoint {
    /// Creates the checkpoint of `state` with its seal.
    pub fn new(state: &ConfigState, at: UnixMillis, sealer: &Authenticator) -> Self {
        let payload = payload(state, at);
        let sealed = sealer.sign(&payload);
        let proof = &sealed[..sealed.len() - payload.len()];
        Checkpoint {
            state: Box::new(state.clone()),
            at,
            seal: proof.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }

    /// Returns whether a router of the fleet wrote this checkpoint.
    fn is_sealed(&self, sealer: &Authenticator) -> bool {
        let payload = payload(&self.state, self.at);
        let digits = self.seal.as_bytes().chunks(2);
        let proof = digits.map(|pair| {
            let text = std::str::from_utf8(pair).unwrap_or_default();
            u8::from_str_radix(text, 16).ok()
        });
        let Some(mut sealed) = proof.collect::<Option<Vec<u8>>>() else {
            return false;
        };
        sealed.extend_from_slice(&payload);
        sealer
            .verify(&sealed)
            .is_some_and(|opened| opened == payload)
    }

    /// Returns whether a router that misses earlier records may start from it.
    pub fn is_valid_at(&self, offset: Offset, sealer: &Authenticator) -> bool {
        self.state.applied == offset && self.is_sealed(sealer)
    }
}

fn payload(state: &ConfigState, at: UnixMillis) -> Vec<u8> {
    serde_json::to_vec(&(state, at)).expect("a state is plain data")
}

/// Returns the state to start from: that of the newest usable checkpoint.
pub fn newest_valid_checkpoint<'a>(
    records: &'a [(Offset, Record)],
    sealer: &Authenticator,
) -> Option<&'a ConfigState> {
    records
        .iter()
        .rev()
        .find_map(|(offset, record)| match record {
            Record::Checkpoint(point) if point.is_valid_at(*offset, sealer) => Some(&*point.state),
            _ => None,
        })
}
