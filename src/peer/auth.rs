//! Proof that a frame or datagram comes from a router that holds a shared key.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::config::Secret;

/// Length of the proof before each payload, in bytes.
pub const TAG_LEN: usize = 16;

/// What a proof is for; a proof for one purpose does not hold for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A frame of a connection.
    Frame = 1,
    /// A datagram.
    Datagram = 2,
    /// A ticket given to a caller.
    Ticket = 3,
    /// A checkpoint of the configuration.
    Checkpoint = 4,
    /// A plan given to an operator.
    Plan = 5,
}

/// Seals with the first key and opens with any of them.
#[derive(Clone)]
pub struct Authenticator {
    keys: Vec<Hmac<Sha256>>,
}

impl Authenticator {
    /// Creates a sealer of one purpose for `keys`, of which there is at least one.
    pub fn new(keys: &[Secret], purpose: Purpose) -> Self {
        let mac = |key: &Secret| {
            let mac = Hmac::<Sha256>::new_from_slice(key.expose());
            mac.expect("HMAC takes keys of any length")
                .chain_update([purpose as u8])
        };
        Authenticator {
            keys: keys.iter().map(mac).collect(),
        }
    }

    /// Returns a sealer whose proofs hold only together with `context`, parts of known length.
    pub fn with_context(&self, context: &[&[u8]]) -> Self {
        let extend = |key: &Hmac<Sha256>| {
            let extend = |key: Hmac<Sha256>, part: &&[u8]| key.chain_update(part);
            context.iter().fold(key.clone(), extend)
        };
        Authenticator {
            keys: self.keys.iter().map(extend).collect(),
        }
    }

    /// Returns `payload` behind a proof that also covers `number`.
    pub fn sign_numbered(&self, number: u64, payload: &[u8]) -> Vec<u8> {
        self.with_context(&[&number.to_le_bytes()]).sign(payload)
    }

    /// Returns the payload when its proof holds for `number` under one of the keys.
    pub fn verify_numbered<'a>(&self, number: u64, sealed: &'a [u8]) -> Option<&'a [u8]> {
        self.with_context(&[&number.to_le_bytes()]).verify(sealed)
    }

    /// Returns `payload` behind its proof.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let proof = self.keys[0].clone().chain_update(payload).finalize();
        let mut sealed = Vec::with_capacity(TAG_LEN + payload.len());
        sealed.extend_from_slice(&proof.into_bytes()[..TAG_LEN]);
        sealed.extend_from_slice(payload);
        sealed
    }

    /// Returns the payload when its proof holds under one of the keys.
    pub fn verify<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (proof, payload) = sealed.split_at_checked(TAG_LEN)?;
        let holds = |key: &Hmac<Sha256>| {
            let mac = key.clone().chain_update(payload);
            mac.verify_truncated_left(proof).is_ok()
        };
        self.keys.iter().any(holds).then_some(payload)
    }
}
