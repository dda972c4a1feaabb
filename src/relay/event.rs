//! Server-sent events, split from a byte stream.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as received, with the empty line that ends it.
    pub raw: Bytes,
    /// Value of the `id` field.
    pub id: Option<String>,
    /// Value of the `data` field.
    pub data: String,
}

/// The buffered bytes exceed [`MAX_EVENT_BYTES`] without an end of the event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

/// Splits a byte stream into events; an unfinished event is never given out.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        EventReader::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns whether no unfinished event is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes the next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`Oversized`] when an event has no end within the limit.
    pub fn next_event(&mut self) -> Result<Option<Event>, Oversized> {
        let Some(len) = end_of_event(&self.buf) else {
            let oversized = self.buf.len() > MAX_EVENT_BYTES;
            return if oversized { Err(Oversized) } else { Ok(None) };
        };
        let raw = self.buf.split_to(len).freeze();
        Ok(Some(parse(raw)))
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    buf.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

fn parse(raw: Bytes) -> Event {
    let text = String::from_utf8_lossy(&raw);
    let mut id = None;
    let mut data = String::new();
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = Some(value.to_string()),
            "data" => data.push_str(value),
            _ => {}
        }
    }
    Event { raw, id, data }
}
