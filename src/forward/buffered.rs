//! Responses that are read in full before they are forwarded.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};

use super::{exchange::Exchange, Forwarder, Observation, Wire};
use crate::{Category, Error, Result};

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// A response whose body was read in full.
pub(super) struct BufferedResponse {
    pub(super) exchange: Exchange,
    pub(super) body: Bytes,
}

impl<W: Wire> Forwarder<W> {
    /// Reads the body of a response within `time_left`.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict "may have run" when the body breaks off, is too large or
    /// does not arrive in time.
    pub(super) async fn buffer_response(
        &self,
        mut exchange: Exchange,
        time_left: Duration,
    ) -> Result<BufferedResponse> {
        let read = Limited::new(&mut exchange.body, MAX_BUFFERED_RESPONSE_BYTES).collect();
        match tokio::time::timeout(time_left, read).await {
            Ok(Ok(body)) => Ok(BufferedResponse {
                body: body.to_bytes(),
                exchange,
            }),
            Ok(Err(err)) => {
                let now = self.clock.now();
                self.health
                    .record(exchange.server.key(), Observation::Failed, now);
                let message = format!("the response is incomplete: {err}");
                Err(Error::may_have_run(Category::Cut, message))
            }
            Err(_) => Err(Error::may_have_run(
                Category::Timeout,
                "the rest of the response did not arrive in time",
            )),
        }
    }
}
