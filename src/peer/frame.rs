//! Authenticated frames on a connection: a length, an HMAC tag and the payload.
//!
//! The tag covers the nonces of the connection, the direction and the sequence number of
//! the frame, so a frame is accepted only once and only in order.

use std::{io, sync::atomic::AtomicU64};

use bytes::{Buf, BytesMut};
use prometheus_client::metrics::counter::Counter;
use serde::{de::DeserializeOwned, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::Authenticator;

/// Largest tag and payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Length of the length field that starts a frame, in bytes.
const PREFIX_LEN: usize = 4;

/// Writes the frames of one direction of a connection.
pub struct FrameWriter {
    authenticator: Authenticator,
    sequence: u64,
    bytes_sent: Counter<u64, AtomicU64>,
}

impl FrameWriter {
    /// Creates a writer that signs its frames with `authenticator`.
    pub fn new(authenticator: Authenticator) -> Self {
        FrameWriter {
            authenticator,
            sequence: 0,
            bytes_sent: Counter::default(),
        }
    }

    /// Counts the bytes that the writer sends in `bytes_sent`.
    #[must_use]
    pub fn with_counter(mut self, bytes_sent: Counter<u64, AtomicU64>) -> Self {
        self.bytes_sent = bytes_sent;
        self
    }

    /// Writes `message` as one frame.
    ///
    /// # Errors
    ///
    /// Fails when the message is too large or the connection fails.
    pub async fn write<W: AsyncWrite + Unpin>(
        &mut self,
        tx: &mut W,
        message: &impl Serialize,
    ) -> io::Result<()> {
        let payload = postcard::to_stdvec(message).map_err(io::Error::other)?;
        let signed = self.authenticator.sign_numbered(self.sequence, &payload);
        if signed.len() > MAX_FRAME_BYTES {
            return Err(io::Error::other("message exceeds the maximum frame size"));
        }
        self.sequence += 1;
        let mut frame = Vec::with_capacity(PREFIX_LEN + signed.len());
        frame.extend_from_slice(&(signed.len() as u32).to_le_bytes());
        frame.extend_from_slice(&signed);
        self.bytes_sent.inc_by(frame.len() as u64);
        tx.write_all(&frame).await
    }
}

/// Reads the frames of one direction of a connection.
pub struct FrameReader {
    authenticator: Authenticator,
    sequence: u64,
    limit: usize,
    buf: BytesMut,
}

impl FrameReader {
    /// Creates a reader that verifies its frames with `authenticator`.
    pub fn new(authenticator: Authenticator) -> Self {
        FrameReader {
            authenticator,
            sequence: 0,
            limit: MAX_FRAME_BYTES,
            buf: BytesMut::new(),
        }
    }

    /// Accepts frames whose tag and payload have at most `limit` bytes.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Verifies further frames with another authenticator, numbered from zero again.
    #[must_use]
    pub fn with_authenticator(mut self, authenticator: Authenticator) -> Self {
        self.authenticator = authenticator;
        self.sequence = 0;
        self
    }

    /// Reads one frame.
    ///
    /// Dropping the future loses no bytes: what has been received stays in the buffer.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends, the frame is too large, its tag is invalid or its
    /// message cannot be decoded. The connection must not be used after a failure.
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

    /// Removes the first frame from the buffer; `None` until it is complete.
    fn split_frame(&mut self) -> io::Result<Option<BytesMut>> {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        let len = u32::from_le_bytes(*prefix) as usize;
        if len > self.limit {
            return Err(malformed("frame exceeds the size limit"));
        }
        if self.buf.len() < PREFIX_LEN + len {
            return Ok(None);
        }
        self.buf.advance(PREFIX_LEN);
        Ok(Some(self.buf.split_to(len)))
    }

    /// Verifies the tag of a frame and decodes its payload.
    fn decode<T: DeserializeOwned>(&mut self, frame: &[u8]) -> io::Result<T> {
        let payload = self.authenticator.verify_numbered(self.sequence, frame);
        let payload = payload.ok_or_else(|| malformed("invalid authentication tag"))?;
        self.sequence += 1;
        postcard::from_bytes(payload).map_err(|_| malformed("message cannot be decoded"))
    }
}

fn malformed(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
