//! Tickets: call keys that prove when they were issued.

use std::fmt;

use crate::{peer::Authenticator, UnixMillis};

/// Length of the proof in a ticket, in hexadecimal digits.
const PROOF_LEN: usize = 32;

/// A call key issued by a router, as `TIME.NUMBER.PROOF` in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    text: String,
}

impl Ticket {
    /// Issues a ticket; `number` tells it from others issued at the same time.
    pub fn new(sealer: &Authenticator, issued: UnixMillis, number: u128) -> Self {
        let claim = format!("{:x}.{number:032x}", issued.0);
        let sealed = sealer.sign(claim.as_bytes());
        let proof: String = sealed[..PROOF_LEN / 2]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        Ticket {
            text: format!("{claim}.{proof}"),
        }
    }

    /// Returns when the ticket `text` was issued, or `None` if no router issued it.
    pub fn verify(text: &str, sealer: &Authenticator) -> Option<UnixMillis> {
        let (claim, proof) = text.rsplit_once('.')?;
        let mut sealed = decode_hex(proof)?;
        sealed.extend_from_slice(claim.as_bytes());
        sealer.verify(&sealed)?;
        let (issued, _) = claim.split_once('.')?;
        u64::from_str_radix(issued, 16).ok().map(UnixMillis)
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() != PROOF_LEN || !text.is_ascii() {
        return None;
    }
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..PROOF_LEN).step_by(2).map(digits).collect()
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
