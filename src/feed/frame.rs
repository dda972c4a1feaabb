//! Messages on the connection between a follower and the routers it feeds.

use std::io;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{catalog::Server, Offset};

/// Largest frame, in bytes: a table of some ten thousand routes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// What a follower tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// An encoded route table.
    Routes(Vec<u8>),
    /// All servers.
    Servers {
        /// The servers.
        servers: Vec<Server>,
        /// Position in the store up to which changes are in.
        next: Offset,
    },
    /// The store confirmed the servers told last, that many milliseconds ago.
    AgeMillis(u64),
}

/// Reads one frame into `buf`.
///
/// # Errors
///
/// Fails when the connection ends or the frame is too large.
pub(super) async fn read<R>(from: &mut R, buf: &mut Vec<u8>) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    let len = from.read_u32().await? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!("frame of {len} bytes")));
    }
    buf.clear();
    let read = from.take(len as u64).read_to_end(buf).await?;
    if read < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Writes `update` as one frame.
///
/// # Errors
///
/// Fails when the connection ends.
pub(super) async fn write<W>(to: &mut W, update: &FeedMessage) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let bytes = postcard::to_stdvec(update).map_err(io::Error::other)?;
    to.write_u32(bytes.len() as u32).await?;
    to.write_all(&bytes).await
}
