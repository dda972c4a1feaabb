//! Tickets: idempotency keys issued by a router, which prove when they were issued.

use std::fmt;

use crate::{peer::Authenticator, UnixMillis};

/// Length of the proof (a truncated signature) in a ticket.
const PROOF_HEX_DIGITS: usize = 32;

/// An idempotency key issued by a router, as `TIME.NUMBER.PROOF` in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    text: String,
}

impl Ticket {
    /// Issues a ticket; `number` distinguishes it from others issued at the same time.
    pub fn new(authenticator: &Authenticator, issued: UnixMillis, number: u128) -> Self {
        let payload = format!("{:x}.{number:032x}", issued.0);
        let signed = authenticator.sign(payload.as_bytes());
        let proof: String = signed[..PROOF_HEX_DIGITS / 2]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        Ticket {
            text: format!("{payload}.{proof}"),
        }
    }

    /// Returns the time at which the ticket `text` was issued, or `None` if its proof is invalid.
    pub fn verify(text: &str, authenticator: &Authenticator) -> Option<UnixMillis> {
        let (payload, proof) = text.rsplit_once('.')?;
        let mut signed = decode_proof(proof)?;
        signed.extend_from_slice(payload.as_bytes());
        authenticator.verify(&signed)?;
        let (issued, _) = payload.split_once('.')?;
        u64::from_str_radix(issued, 16).ok().map(UnixMillis)
    }
}

/// Decodes a proof, or returns `None` if it is malformed.
fn decode_proof(text: &str) -> Option<Vec<u8>> {
    if text.len() != PROOF_HEX_DIGITS || !text.is_ascii() {
        return None;
    }
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..PROOF_HEX_DIGITS).step_by(2).map(digits).collect()
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
