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
    /// Value of the `data` field, with the values of several such fields joined by line feeds.
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

/// Longest end of an event: two line ends of two bytes each.
const MAX_END_BYTES: usize = 4;

/// Tells whether a byte stream that is passed on unsplit has come to the end of an event.
#[derive(Debug, Clone, Copy)]
pub struct EventBoundary {
    /// Number of line ends at the end of the bytes received, 2 at most.
    line_ends: usize,
    /// Whether the last byte is a carriage return, of whose line end a line feed is part.
    is_after_return: bool,
}

impl Default for EventBoundary {
    /// Returns the boundary before the first event.
    fn default() -> Self {
        EventBoundary {
            line_ends: 2,
            is_after_return: false,
        }
    }
}

impl EventBoundary {
    /// Takes further bytes of the stream into account.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(MAX_END_BYTES)..] {
            match byte {
                b'\n' if self.is_after_return => {}
                b'\n' | b'\r' => self.line_ends = (self.line_ends + 1).min(2),
                _ => self.line_ends = 0,
            }
            self.is_after_return = *byte == b'\r';
        }
    }

    /// Returns whether the bytes end with a complete event, or there are none.
    pub fn is_reached(&self) -> bool {
        self.line_ends == 2
    }
}

/// Returns the length of the first event in `buf`, or `None` if its end is missing.
///
/// Lines end with a line feed, a carriage return, or both. The result does not change with what
/// follows in the stream.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    // Where lines end with single carriage returns, no line feed is awaited behind the last one.
    let mut has_lone_return = false;
    loop {
        let line = &buf[line_start..];
        let len = line.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let awaits_feed = len > 0 || !has_lone_return;
        let end_len = match (line[len], line.get(len + 1)) {
            (b'\r', None) if awaits_feed => return None,
            (b'\r', Some(b'\n')) if awaits_feed => 2,
            _ => 1,
        };
        if len == 0 {
            return Some(line_start + end_len);
        }
        has_lone_return = line[len] == b'\r' && end_len == 1;
        line_start += len + end_len;
    }
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data: Option<String> = None;
    let mut is_comment = true;
    let lines = text.split(['\n', '\r']).filter(|line| !line.is_empty());
    for line in lines.filter(|line| !line.starts_with(':')) {
        is_comment = false;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = Some(value.to_string()),
            "data" => match &mut data {
                None => data = Some(value.to_string()),
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
            },
            _ => {}
        }
    }
    Event {
        raw,
        id,
        data: data.unwrap_or_default(),
        is_comment,
    }
}
