//! Peer calls by which a router fetches the configuration from another one.

use serde::{Deserialize, Serialize};

use super::Record;
use crate::{
    infra::Entry,
    peer::{Call, Reply, Request},
    Offset,
};

/// A record of the configuration stream, encoded as in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// The record, as JSON text.
    pub data: String,
}

impl EncodedRecord {
    /// Encodes an entry of the log.
    pub fn new(entry: &Entry) -> Self {
        EncodedRecord {
            offset: entry.offset,
            data: entry.data.to_string(),
        }
    }
}

/// Decodes a record.
///
/// A malformed record decodes to [`Record::Unreadable`] at every router, so that all routers
/// stay in agreement.
pub fn decode(record: &EncodedRecord) -> Record {
    serde_json::from_str(&record.data).unwrap_or_else(|err| {
        let offset = record.offset;
        log::error!("config record is malformed; skipping it offset={offset} error=\"{err}\"");
        Record::Unreadable
    })
}

/// Asks a router for the offset up to which it has applied the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHeadRequest;

/// Asks a router for the records after `applied`, or for its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSinceRequest {
    /// Offset up to which the requesting router has applied the configuration.
    pub applied: Offset,
    /// Index of the requested chunk of a state that is sent in chunks, from 0.
    pub chunk: u32,
}

/// Answer to [`ConfigSinceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigSinceReply {
    /// The responding router does not hold the configuration itself.
    Unknown,
    /// The responding router is at this offset, which is not ahead of the requested one.
    UpToDate(Offset),
    /// Records from the requested offset on, without gaps.
    Records(Vec<EncodedRecord>),
    /// A chunk of the state, sent when the responding router no longer keeps the records.
    State {
        /// Offset up to which the state is applied.
        applied: Offset,
        /// Number of chunks in the whole state.
        parts: u32,
        /// The requested chunk of the state's JSON text.
        bytes: Vec<u8>,
    },
}

impl Call for ConfigHeadRequest {
    type Answer = Option<Offset>;

    fn into_request(self) -> Request {
        Request::ConfigHead(self)
    }

    fn from_reply(reply: Reply) -> Option<Option<Offset>> {
        match reply {
            Reply::ConfigHead(head) => Some(head),
            _ => None,
        }
    }
}

impl Call for ConfigSinceRequest {
    type Answer = ConfigSinceReply;

    fn into_request(self) -> Request {
        Request::ConfigSince(self)
    }

    fn from_reply(reply: Reply) -> Option<ConfigSinceReply> {
        match reply {
            Reply::ConfigSince(reply) => Some(reply),
            _ => None,
        }
    }
}
