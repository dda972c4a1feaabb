//! Authentication of frames, datagrams, tickets, checkpoints and plans by HMAC-SHA-256.
//!
//! A tag shows that its payload comes from a router that holds one of the shared keys.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::config::Secret;

/// Length of the authentication tag before each payload, in bytes.
pub const TAG_LEN: usize = 16;

/// What an authentication tag is for; a tag for one purpose is invalid for any other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A frame on a connection between routers.
    Frame = 1,
    /// A datagram of the membership protocol.
    Datagram = 2,
    /// A ticket issued to a caller.
    Ticket = 3,
    /// A checkpoint of the configuration.
    Checkpoint = 4,
    /// A plan handed to an operator for confirmation.
    Plan = 5,
}

/// Signs payloads with the first of its keys and verifies them with any of its keys.
///
/// Several keys are held while a key is being replaced.
#[derive(Clone)]
pub struct Authenticator {
    keys: Vec<Hmac<Sha256>>,
}

impl Authenticator {
    /// Creates an authenticator for one purpose with `keys`, of which there is at least one.
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

    /// Returns an authenticator whose tags also cover `context`.
    ///
    /// The parts are joined without separators, so each must have a known length.
    pub fn with_context(&self, context: &[&[u8]]) -> Self {
        let extend = |key: &Hmac<Sha256>| {
            let extend = |key: Hmac<Sha256>, part: &&[u8]| key.chain_update(part);
            context.iter().fold(key.clone(), extend)
        };
        Authenticator {
            keys: self.keys.iter().map(extend).collect(),
        }
    }

    /// Returns `payload` after a tag that covers `number` and the payload.
    pub fn sign_numbered(&self, number: u64, payload: &[u8]) -> Vec<u8> {
        self.with_context(&[&number.to_le_bytes()]).sign(payload)
    }

    /// Returns the payload when its tag is valid for `number` under one of the keys.
    pub fn verify_numbered<'a>(&self, number: u64, signed: &'a [u8]) -> Option<&'a [u8]> {
        self.with_context(&[&number.to_le_bytes()]).verify(signed)
    }

    /// Returns `payload` after its tag.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let tag = self.keys[0].clone().chain_update(payload).finalize();
        let mut signed = Vec::with_capacity(TAG_LEN + payload.len());
        signed.extend_from_slice(&tag.into_bytes()[..TAG_LEN]);
        signed.extend_from_slice(payload);
        signed
    }

    /// Returns the payload when its tag is valid under one of the keys.
    pub fn verify<'a>(&self, signed: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, payload) = signed.split_at_checked(TAG_LEN)?;
        let is_valid = |key: &Hmac<Sha256>| {
            let mac = key.clone().chain_update(payload);
            mac.verify_truncated_left(tag).is_ok()
        };
        self.keys.iter().any(is_valid).then_some(payload)
    }
}
