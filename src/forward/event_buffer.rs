//! Events of a stream that have arrived in part or were not taken yet.

use bytes::{Bytes, BytesMut};

use crate::{
    memory::{Account, Reservation},
    relay::EventReader,
    Category, Error, Result,
};

/// Splits a stream into the events that its caller does not have yet.
#[derive(Debug)]
pub(super) struct EventBuffer {
    reader: EventReader,
    reservation: Reservation,
}

/// An event that the caller does not have yet.
pub(super) struct NewEvent {
    pub(super) raw: Bytes,
    /// Whether it is a comment, which carries no data.
    pub(super) is_comment: bool,
}

impl EventBuffer {
    /// Creates an empty buffer.
    pub(super) fn new(account: &Account) -> Self {
        EventBuffer {
            reader: EventReader::new(),
            reservation: account.reservation(),
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when there is no memory for them.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.reader.push(bytes);
        self.reservation.resize(self.reader.len())
    }

    /// Returns whether no event or part of one is left.
    pub(super) fn is_empty(&self) -> bool {
        self.reader.is_empty()
    }

    /// Removes and returns all bytes that are left.
    pub(super) fn take_rest(&mut self) -> BytesMut {
        std::mem::take(&mut self.reader).into_rest()
    }

    /// Takes the next complete event after `last_event`, which becomes the number of that event.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] for an event that is too large, and for one without a number
    /// in a stream of numbered events.
    pub(super) fn next_new_event(
        &mut self,
        last_event: &mut Option<u64>,
    ) -> Result<Option<NewEvent>> {
        loop {
            let event = self
                .reader
                .next_event()
                .map_err(|_| Error::may_have_run(Category::Backend, "an event is too large"))?;
            let Some(event) = event else {
                return Ok(None);
            };
            let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
            let is_comment = event.raw.starts_with(b":");
            if number.is_none() && last_event.is_some() && !is_comment {
                let message = "an event has no number";
                return Err(Error::may_have_run(Category::Backend, message));
            }
            if number.is_some() && number <= *last_event {
                continue;
            }
            *last_event = number.or(*last_event);
            return Ok(Some(NewEvent {
                raw: event.raw,
                is_comment,
            }));
        }
    }
}
