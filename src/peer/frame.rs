//! Frames on a connection: a length, then a sealed payload.
//!
//! The proof of a frame covers the nonces of its connection, its direction and its
//! number, so that a frame counts only once, in its place.

use std::{io, sync::atomic::AtomicU64};

use bytes::{Buf, BytesMut};
use prometheus_client::metrics::counter::Counter;
use serde::{de::DeserializeOwned, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::Authenticator;

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 1024 * 1024;

/// Length of the length field, in bytes.
const PREFIX_LEN: usize = 4;

/// The frames sent in one direction of a connection.
pub struct FrameWriter {
    sealer: Authenticator,
    sequence: u64,
    bytes: Counter<u64, AtomicU64>,
}

impl FrameWriter {
    /// Creates a writer whose frames are sealed by `sealer`.
    pub fn new(sealer: Authenticator) -> Self {
        FrameWriter {
            sealer,
            sequence: 0,
            bytes: Counter::default(),
        }
    }

    /// Counts the bytes of all frames in `bytes`.
    #[must_use]
    pub fn with_counter(mut self, bytes: Counter<u64, AtomicU64>) -> Self {
        self.bytes = bytes;
        self
    }

    /// Writes `message` as one frame.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the connection does.
    pub async fn write<W: AsyncWrite + Unpin>(
        &mut self,
        tx: &mut W,
        message: &impl Serialize,
    ) -> io::Result<()> {
        let payload = postcard::to_stdvec(message).map_err(io::Error::other)?;
        let sealed = self.sealer.sign_numbered(self.sequence, &payload);
        if sealed.len() > MAX_FRAME {
            return Err(io::Error::other("frame too large"));
        }
        self.sequence += 1;
        let mut frame = Vec::with_capacity(PREFIX_LEN + sealed.len());
        frame.extend_from_slice(&(sealed.len() as u32).to_le_bytes());
        frame.extend_from_slice(&sealed);
        self.bytes.inc_by(frame.len() as u64);
        tx.write_all(&frame).await
    }
}

/// The frames received in one direction of a connection.
pub struct FrameReader {
    sealer: Authenticator,
    sequence: u64,
    limit: usize,
    buf: BytesMut,
}

impl FrameReader {
    /// Creates a reader of frames that were sealed by `sealer`.
    pub fn new(sealer: Authenticator) -> Self {
        FrameReader {
            sealer,
            sequence: 0,
            limit: MAX_FRAME,
            buf: BytesMut::new(),
        }
    }

    /// Accepts frames of at most `limit` bytes.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Goes on with frames of another sealer, numbered from the start.
    #[must_use]
    pub fn with_sealer(mut self, sealer: Authenticator) -> Self {
        self.sealer = sealer;
        self.sequence = 0;
        self
    }

    /// Reads one frame.
    ///
    /// The function may be cancelled between reads without losing bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends, the frame is too large, its seal is wrong or its
    /// message cannot be decoded. The connection is not to be used further.
    pub async fn read<R: AsyncRead + Unpin, T: DeserializeOwned>(
        &mut self,
        rx: &mut R,
    ) -> io::Result<T> {
        loop {
            if let Some(frame) = self.split_frame()? {
                return self.decode(&frame);
            }
            if rx.read_buf(&mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn split_frame(&mut self) -> io::Result<Option<BytesMut>> {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        let len = u32::from_le_bytes(*prefix) as usize;
        if len > self.limit {
            return Err(malformed("frame too large"));
        }
        if self.buf.len() < PREFIX_LEN + len {
            return Ok(None);
        }
        self.buf.advance(PREFIX_LEN);
        Ok(Some(self.buf.split_to(len)))
    }

    fn decode<T: DeserializeOwned>(&mut self, frame: &[u8]) -> io::Result<T> {
        let payload = self.sealer.verify_numbered(self.sequence, frame);
        let payload = payload.ok_or_else(|| malformed("wrong seal"))?;
        self.sequence += 1;
        postcard::from_bytes(payload).map_err(|_| malformed("undecodable message"))
    }
}

fn malformed(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
