//! The response of a server that is asked to go on with a stream, until its first event.

use http_body_util::BodyExt;

use super::{event_buffer::EventBuffer, exchange::Exchange};
use crate::memory::Account;
use crate::{Category, Error, Result};

/// An exchange that goes on with a stream once it has sent an event.
pub(super) struct Successor {
    pub(super) exchange: Exchange,
    /// What was read of the response, from the first event on that the caller does not have yet.
    ///
    /// The stream takes it over with the exchange, as it may end with a part of an event.
    pub(super) events: EventBuffer,
}

impl Successor {
    /// Creates the successor from an exchange that has received the head of the response.
    pub(super) fn new(exchange: Exchange, account: &Account) -> Self {
        Successor {
            exchange,
            events: EventBuffer::new(account),
        }
    }

    /// Reads the next part of the body.
    ///
    /// Returns whether an event after `last_event` or the end of the stream was received.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Cut`] when the response breaks off, [`Category::Backend`] when it cannot go
    /// on with the stream, and [`Category::Overloaded`] when there is no memory for it.
    pub(super) async fn read(&mut self, last_event: Option<u64>) -> Result<bool> {
        let frame = self.exchange.body.frame().await.transpose();
        let frame = frame.map_err(|err| Error::may_have_run(Category::Cut, err.to_string()))?;
        let Some(frame) = frame else {
            let may_end = self.exchange.is_framed || self.exchange.body.has_data();
            let is_complete = self.events.is_empty() && may_end;
            let message = "the response ended before its first event or inside an event";
            return match is_complete {
                true => Ok(true),
                false => Err(Error::may_have_run(Category::Cut, message)),
            };
        };
        let Ok(bytes) = frame.into_data() else {
            return Ok(false);
        };
        self.events.push(&bytes)?;
        self.events.skip_to_new_event(last_event)
    }
}
