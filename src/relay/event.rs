//! Server-sent events, split from a byte stream.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as received, including the empty line that ends it.
    pub raw: Bytes,
    /// Value of the `id` field, or `None` if there is no such field.
    pub id: Option<String>,
    /// Value of the `data` field, with the values of several such fields concatenated.
    pub data: String,
    /// Whether there are only comment lines and no field.
    pub is_comment: bool,
}

/// Error for more than [`MAX_EVENT_BYTES`] buffered bytes without the end of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

/// Splits a byte stream into events; returns complete events only.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        EventReader::default()
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether the buffer is empty, so that no event or part of one is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`Oversized`] when the buffer exceeds [`MAX_EVENT_BYTES`] without the end of an
    /// event.
    pub fn next_event(&mut self) -> Result<Option<Event>, Oversized> {
        let len = self.first_len()?;
        Ok(len.map(|len| parse(self.buf.split_to(len).freeze())))
    }

    /// Returns the next complete event, which stays in the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Fails as [`next_event`](Self::next_event) does.
    pub fn peek_event(&self) -> Result<Option<Event>, Oversized> {
        let len = self.first_len()?;
        Ok(len.map(|len| parse(Bytes::copy_from_slice(&self.buf[..len]))))
    }

    /// Returns the length of the first event, or `None` if its end is missing.
    fn first_len(&self) -> Result<Option<usize>, Oversized> {
        match end_of_event(&self.buf) {
            None if self.buf.len() > MAX_EVENT_BYTES => Err(Oversized),
            len => Ok(len),
        }
    }
}

/// Tells whether a byte stream that is passed on unsplit has come to the end of an event.
#[derive(Debug, Clone, Copy)]
pub struct EventBoundary {
    /// Number of line ends at the end of the bytes received, 2 at most.
    line_ends: usize,
}

impl Default for EventBoundary {
    /// Returns the boundary before the first event.
    fn default() -> Self {
        EventBoundary { line_ends: 2 }
    }
}

impl EventBoundary {
    /// Takes further bytes of the stream into account.
    pub fn push(&mut self, bytes: &[u8]) {
        let at_end = bytes
            .iter()
            .rev()
            .take_while(|byte| **byte == b'\n')
            .count();
        let before = if at_end == bytes.len() {
            self.line_ends
        } else {
            0
        };
        self.line_ends = (before + at_end).min(2);
    }

    /// Returns whether the bytes end with a complete event, or there are none.
    pub fn is_reached(&self) -> bool {
        self.line_ends == 2
    }
}

/// Returns the length of the first event in `buf`, or `None` if its end is missing.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    buf.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data = String::new();
    let mut is_comment = true;
    let lines = text.lines().filter(|line| !line.is_empty());
    for line in lines.filter(|line| !line.starts_with(':')) {
        is_comment = false;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = Some(value.to_string()),
            "data" => data.push_str(value),
            _ => {}
        }
    }
    Event {
        raw,
        id,
        data,
        is_comment,
    }
}
