//! Messages from a follower to its subscribers, and their framing.

use std::{io, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::StoreEra;
use crate::{
    admission::QuarantinedParts,
    catalog::{DepartureReport, Server, WarmUpReport},
    evacuation::EvacuationReport,
    routes::RouteTable,
    Offset,
};

/// Maximum size of a frame in bytes, enough for a table of some ten thousand routes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Message from a follower to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// An encoded route table.
    Routes(Vec<u8>),
    /// The complete list of servers.
    Servers {
        /// The servers.
        servers: Vec<Server>,
        /// Offset in the store before which all changes are included.
        next: Offset,
        /// Era of the store.
        era: StoreEra,
        /// What is known of servers that have announced that they leave.
        departures: Vec<DepartureReport>,
        /// Whether the list is [settled](super::ListVersion::is_settled).
        is_settled: bool,
        /// The evacuations, which hold from before the servers are used; `None` if this deployment
        /// has none.
        evacuations: Option<EvacuationReport>,
        /// What is known of cold servers.
        warm_ups: Vec<WarmUpReport>,
    },
    /// The data sent so far was current in the store at this time.
    Current {
        /// Time on the subscriber's clock, in microseconds.
        at_micros: u64,
        /// Age of the data when the message was sent, in milliseconds.
        age_millis: u64,
    },
}

/// Reads one frame into `buf`; each byte may take up to `timeout`.
///
/// # Errors
///
/// Fails when the connection fails, ends or is silent, or when the frame exceeds
/// [`MAX_FRAME_BYTES`].
pub(super) async fn read<R>(from: &mut R, buf: &mut Vec<u8>, timeout: Duration) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    let len = tokio::time::timeout(timeout, from.read_u32()).await?? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!(
            "frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        )));
    }
    buf.clear();
    buf.reserve(len);
    let mut from = from.take(len as u64);
    while buf.len() < len {
        if tokio::time::timeout(timeout, from.read_buf(buf)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// Encodes `message` as one frame.
///
/// # Errors
///
/// Fails when the message cannot be encoded.
pub(super) fn encode(message: &FeedMessage) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    Ok(with_len(&bytes))
}

fn with_len(bytes: &[u8]) -> Vec<u8> {
    let len = (bytes.len() as u32).to_be_bytes();
    [&len[..], bytes].concat()
}

/// Encodes `message` and the quarantines of the sender, which follow it, as one frame.
///
/// Builds that know no quarantines in the feed ignore what follows a message.
///
/// # Errors
///
/// Fails when the message cannot be encoded.
pub(super) fn encode_with_quarantines(
    message: &FeedMessage,
    quarantined: &[QuarantinedParts],
) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let bytes = postcard::to_extend(quarantined, bytes).map_err(io::Error::other)?;
    Ok(with_len(&bytes))
}

/// Decodes a message and the quarantines that follow it, if any do.
///
/// # Errors
///
/// Fails when the bytes are malformed.
pub(super) fn decode(bytes: &[u8]) -> io::Result<(FeedMessage, Option<Vec<QuarantinedParts>>)> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(io::Error::other)?;
    let quarantined = (!rest.is_empty()).then(|| postcard::from_bytes(rest));
    Ok((message, quarantined.transpose().map_err(io::Error::other)?))
}

/// Encodes the message that carries `table` as one frame.
///
/// # Errors
///
/// Fails when the table cannot be encoded.
pub(super) fn encode_routes(table: &RouteTable) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(table).map_err(io::Error::other)?;
    encode(&FeedMessage::Routes(bytes))
}
