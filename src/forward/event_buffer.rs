//! Events of a stream that have arrived in part or were not taken yet.

use crate::{
    memory::{Account, Reservation},
    relay::{Event, EventReader, Oversized},
    Category, Error, Result,
};

/// Splits a stream into the events that its caller does not have yet.
#[derive(Debug)]
pub(super) struct EventBuffer {
    reader: EventReader,
    reservation: Reservation,
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

    /// Returns the number of bytes that are left.
    pub(super) fn len(&self) -> usize {
        self.reader.len()
    }

    /// Takes the next complete event after `last_event`, which becomes the number of that event.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Backend`] for an event that is too large, and for one without a number
    /// in a stream of numbered events.
    pub(super) fn next_new_event(&mut self, last_event: &mut Option<u64>) -> Result<Option<Event>> {
        while let Some(event) = self.next_event()? {
            match Position::of(&event, *last_event)? {
                Position::Known => {}
                Position::Comment => return Ok(Some(event)),
                Position::New(number) => {
                    *last_event = number.or(*last_event);
                    return Ok(Some(event));
                }
            }
        }
        Ok(None)
    }

    /// Drops the comments and the events up to `last_event` that precede the next event; returns
    /// whether that event is complete.
    ///
    /// Comments carry no data and may come without end.
    ///
    /// # Errors
    ///
    /// Fails as [`next_new_event`](Self::next_new_event) does.
    pub(super) fn skip_to_new_event(&mut self, last_event: Option<u64>) -> Result<bool> {
        while let Some(event) = self.reader.peek_event().map_err(oversized)? {
            if let Position::New(_) = Position::of(&event, last_event)? {
                return Ok(true);
            }
            self.next_event()?;
        }
        Ok(false)
    }

    fn next_event(&mut self) -> Result<Option<Event>> {
        let event = self.reader.next_event().map_err(oversized)?;
        self.reservation.resize(self.reader.len())?;
        Ok(event)
    }
}

/// Where an event stands in a stream.
enum Position {
    /// It carries no data and stands anywhere.
    Comment,
    /// The caller has it.
    Known,
    /// It follows all events that the caller has; a stream may number none of its events.
    New(Option<u64>),
}

impl Position {
    /// Returns the position of `event` after `last_event`.
    fn of(event: &Event, last_event: Option<u64>) -> Result<Self> {
        if event.is_comment {
            return Ok(Position::Comment);
        }
        let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        match number {
            None if last_event.is_some() => {
                let message = "an event has no number";
                Err(Error::may_have_run(Category::Backend, message))
            }
            Some(_) if number <= last_event => Ok(Position::Known),
            _ => Ok(Position::New(number)),
        }
    }
}

fn oversized(_: Oversized) -> Error {
    Error::may_have_run(Category::Backend, "an event is too large")
}
