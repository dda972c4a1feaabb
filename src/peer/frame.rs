//! Frames on a connection: a length, then a sealed payload.

use std::io;

use bytes::{Buf, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::Sealer;

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 1024 * 1024;

/// Length of the length field, in bytes.
const PREFIX_LEN: usize = 4;

/// Writes `message` as one frame.
///
/// # Errors
///
/// Fails when the message is too large or the connection does.
pub async fn write_frame<W: AsyncWrite + Unpin>(
    tx: &mut W,
    sealer: &Sealer,
    message: &impl Serialize,
) -> io::Result<()> {
    let payload = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let sealed = sealer.seal(&payload);
    if sealed.len() > MAX_FRAME {
        return Err(io::Error::other("frame too large"));
    }
    let mut frame = Vec::with_capacity(PREFIX_LEN + sealed.len());
    frame.extend_from_slice(&(sealed.len() as u32).to_le_bytes());
    frame.extend_from_slice(&sealed);
    tx.write_all(&frame).await
}

/// Reads one frame; `buf` keeps what was read of the next one.
///
/// The function may be cancelled between reads without losing bytes.
///
/// # Errors
///
/// Fails when the connection ends, the frame is too large, its seal is wrong or its
/// message cannot be decoded.
pub async fn read_frame<R: AsyncRead + Unpin, T: DeserializeOwned>(
    rx: &mut R,
    sealer: &Sealer,
    buf: &mut BytesMut,
) -> io::Result<T> {
    loop {
        if let Some(frame) = split_frame(buf)? {
            return decode(sealer, &frame);
        }
        if rx.read_buf(buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn split_frame(buf: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some(prefix) = buf.first_chunk::<PREFIX_LEN>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_FRAME {
        return Err(io::Error::other("frame too large"));
    }
    if buf.len() < PREFIX_LEN + len {
        return Ok(None);
    }
    buf.advance(PREFIX_LEN);
    Ok(Some(buf.split_to(len)))
}

fn decode<T: DeserializeOwned>(sealer: &Sealer, frame: &[u8]) -> io::Result<T> {
    let payload = sealer
        .open(frame)
        .ok_or_else(|| io::Error::from(io::ErrorKind::PermissionDenied))?;
    postcard::from_bytes(payload).map_err(io::Error::other)
}
