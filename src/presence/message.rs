//! Datagrams between routers.

use serde::{Deserialize, Serialize};

use super::{Digest, Summary};
use crate::{Category, Error, Result};

/// Maximum size of a datagram in bytes; it fits into one packet of common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// First byte of each datagram, which changes with the format.
///
/// It is no length of a router's name, with which the datagrams of earlier builds begin.
const FORMAT_VERSION: u8 = 0xe3;

/// Contents of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The state of the sender.
    Digest(Box<Digest>),
    /// What a relay passes on.
    Summary(Box<Summary>),
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Protocol`] when a field cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT_VERSION])
            .map_err(|err| Error::not_run(Category::Protocol, err.to_string()))
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`] for a datagram of another format and for a malformed one.
    pub fn decode(datagram: &[u8]) -> Result<Self> {
        let malformed = |message: String| Error::not_run(Category::BadInput, message);
        let (version, bytes) = datagram
            .split_first()
            .ok_or_else(|| malformed("the datagram is empty".to_string()))?;
        if *version != FORMAT_VERSION {
            return Err(malformed(format!("the datagram has format {version}")));
        }
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            Ok((_, rest)) => Err(malformed(format!(
                "{} bytes follow the message",
                rest.len()
            ))),
            Err(err) => Err(malformed(err.to_string())),
        }
    }
}
