//! Responses that are read in full before they are forwarded.

use std::time::Duration;

use bytes::Bytes;

use super::{
    exchange::Exchange,
    whole_body::{read_whole, steady_timeout, ReadError},
    Forwarder, Observation, Wire,
};
use crate::{Category, Error, Result};

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// A response whose body was read in full.
pub(super) struct BufferedResponse {
    pub(super) exchange: Exchange,
    pub(super) body: Bytes,
}

impl<W: Wire> Forwarder<W> {
    /// Reads the body of a response within `time_left`, or, without a limit, as long as it arrives
    /// steadily.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict "may have run" when the body breaks off, is too large for
    /// the limit or the memory left, or does not arrive in time.
    pub(super) async fn buffer_response(
        &self,
        mut exchange: Exchange,
        time_left: Option<Duration>,
    ) -> Result<BufferedResponse> {
        let timeout = |received| time_left.unwrap_or_else(|| steady_timeout(received));
        let reservation = self.memory.reservation();
        let limit = MAX_BUFFERED_RESPONSE_BYTES;
        let body = read_whole(&mut exchange.body, limit, reservation, timeout).await;
        let (category, reason) = match body {
            Ok(body) => return Ok(BufferedResponse { exchange, body }),
            Err(ReadError::Timeout) => {
                return Err(Error::may_have_run(
                    Category::Timeout,
                    "the rest of the response did not arrive in time",
                ));
            }
            // The connection was not broken by the server, so that it has not crashed.
            Err(ReadError::TooLarge) => (Category::Backend, "it exceeds the size limit".into()),
            Err(ReadError::NoMemory(err)) => return Err(err),
            Err(ReadError::Broken(err)) => (Category::Cut, err.to_string()),
        };
        let now = self.clock.now();
        self.health
            .record(exchange.server.key(), Observation::Failed, now);
        let message = format!("the response is incomplete: {reason}");
        Err(Error::may_have_run(category, message))
    }
}
