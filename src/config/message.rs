//! Calls by which routers learn the configuration from each other.

use serde::{Deserialize, Serialize};

use super::Record;
use crate::{
    infra::Entry,
    peer::{Call, Reply, Request},
    Offset,
};

/// A record of the stream, encoded as in the log.
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

/// Decodes a record; one that is malformed is the same to every router.
pub fn decode(record: &EncodedRecord) -> Record {
    serde_json::from_str(&record.data).unwrap_or_else(|err| {
        let offset = record.offset;
        log::error!("config record unreadable offset={offset} error=\"{err}\"");
        Record::Unreadable
    })
}

/// Asks how far a router has applied the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHeadRequest;

/// Asks for what follows `applied`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSinceRequest {
    /// Offset up to which the asking router has applied.
    pub applied: Offset,
    /// Number of the part of a state that is sent in parts, from 0.
    pub chunk: u32,
}

/// Answer to [`ConfigSinceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigSinceReply {
    /// The asked router does not know the configuration itself.
    Unknown,
    /// The asked router is at this offset, which is not ahead.
    UpToDate(Offset),
    /// Records from the asked offset on, without gaps.
    Records(Vec<EncodedRecord>),
    /// A part of the whole state, as the asked router no longer has the records.
    State {
        /// Offset up to which the state was applied.
        applied: Offset,
        /// Number of parts.
        parts: u32,
        /// The asked part of the state's JSON text.
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
            Reply::ConfigSince(part) => Some(part),
            _ => None,
        }
    }
}
