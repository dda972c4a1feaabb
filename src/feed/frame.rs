//! Messages from a follower to its subscribers, and their framing.

use std::io;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{catalog::Server, Offset};

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
    },
    /// The data sent so far was current in the store at this time.
    Current {
        /// Time on the subscriber's clock, in microseconds.
        at_micros: u64,
        /// Age of the data when the message was sent, in milliseconds.
        age_millis: u64,
    },
}

/// Reads one frame into `buf`.
///
/// # Errors
///
/// Fails when the connection fails or ends, or when the frame exceeds [`MAX_FRAME_BYTES`].
pub(super) async fn read<R>(from: &mut R, buf: &mut Vec<u8>) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    let len = from.read_u32().await? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!(
            "frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        )));
    }
    buf.clear();
    let read = from.take(len as u64).read_to_end(buf).await?;
    if read < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Writes `message` as one frame.
///
/// # Errors
///
/// Fails when the message cannot be encoded or the connection fails.
pub(super) async fn write<W>(to: &mut W, message: &FeedMessage) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
    to.write_u32(bytes.len() as u32).await?;
    to.write_all(&bytes).await
}
