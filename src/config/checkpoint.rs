//! Creation and validation of checkpoints, and the rule for when one is due.

use std::time::Duration;

use super::{Checkpoint, ConfigState, Record};
use crate::{peer::Authenticator, Offset, UnixMillis};

/// Number of records after the last checkpoint at which the next one is due.
const MAX_RECORDS_BETWEEN_CHECKPOINTS: u64 = 256;

/// Age of the last checkpoint at which the next one is due.
///
/// The retention time of the log must be longer.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(600);

/// Distance from the oldest kept record to the last checkpoint below which the next one is due.
const RETENTION_MARGIN_RECORDS: u64 = 64;

/// Returns whether a checkpoint of the state is due.
///
/// `first` is the offset of the oldest record that the log still keeps.
pub fn checkpoint_due(state: &ConfigState, first: Offset, now: UnixMillis) -> bool {
    if state.applied == Offset(0) {
        return false;
    }
    let Some(last) = state.checkpoint else {
        return first.0 > 0 || state.applied.0 >= MAX_RECORDS_BETWEEN_CHECKPOINTS;
    };
    let records = state.applied.0 - last.offset.0;
    let is_expiring =
        first.0 > 0 && last.offset.0 < first.0 + RETENTION_MARGIN_RECORDS && records > 1;
    is_expiring
        || records >= MAX_RECORDS_BETWEEN_CHECKPOINTS
        || now.since(last.at) >= MAX_CHECKPOINT_AGE
}

impl Checkpoint {
    /// Creates the checkpoint of `state` with its authentication tag.
    pub fn new(state: &ConfigState, at: UnixMillis, authenticator: &Authenticator) -> Self {
        let payload = payload(state, at);
        let signed = authenticator.sign(&payload);
        let tag = &signed[..signed.len() - payload.len()];
        Checkpoint {
            state: Box::new(state.clone()),
            at,
            seal: tag.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }

    /// Returns whether a router of the fleet wrote this checkpoint.
    fn is_authentic(&self, authenticator: &Authenticator) -> bool {
        let payload = payload(&self.state, self.at);
        let digits = self.seal.as_bytes().chunks(2);
        let tag = digits.map(|pair| {
            let text = std::str::from_utf8(pair).unwrap_or_default();
            u8::from_str_radix(text, 16).ok()
        });
        let Some(mut signed) = tag.collect::<Option<Vec<u8>>>() else {
            return false;
        };
        signed.extend_from_slice(&payload);
        authenticator
            .verify(&signed)
            .is_some_and(|verified| verified == payload)
    }

    /// Returns whether a router that lacks earlier records may start from this checkpoint.
    ///
    /// `offset` is the offset of the checkpoint's own record.
    pub fn is_valid_at(&self, offset: Offset, authenticator: &Authenticator) -> bool {
        self.state.applied == offset && self.is_authentic(authenticator)
    }
}

fn payload(state: &ConfigState, at: UnixMillis) -> Vec<u8> {
    serde_json::to_vec(&(state, at)).expect("a configuration state serializes to JSON")
}

/// Returns the state of the newest valid checkpoint among `records`.
pub fn newest_valid_checkpoint<'a>(
    records: &'a [(Offset, Record)],
    authenticator: &Authenticator,
) -> Option<&'a ConfigState> {
    records
        .iter()
        .rev()
        .find_map(|(offset, record)| match record {
            Record::Checkpoint(checkpoint) if checkpoint.is_valid_at(*offset, authenticator) => {
                Some(&*checkpoint.state)
            }
            _ => None,
        })
}
