//! Answers that are read whole before they are passed on.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};

use super::{exchange::Exchange, Forwarder, Observation, Wire};
use crate::{Category, Error, Result};

/// Largest answer that is read whole, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// An answer whose body is known whole.
pub(super) struct BufferedResponse {
    pub(super) exchange: Exchange,
    pub(super) body: Bytes,
}

impl<W: Wire> Forwarder<W> {
    /// Reads the body of an answer within `left`.
    ///
    /// # Errors
    ///
    /// The verdict is "may have run" when the body is not whole in time.
    pub(super) async fn buffer_response(
        &self,
        mut exchange: Exchange,
        left: Duration,
    ) -> Result<BufferedResponse> {
        let read = Limited::new(&mut exchange.body, MAX_BUFFERED_RESPONSE_BYTES).collect();
        match tokio::time::timeout(left, read).await {
            Ok(Ok(body)) => Ok(BufferedResponse {
                body: body.to_bytes(),
                exchange,
            }),
            Ok(Err(err)) => {
                let now = self.clock.now();
                self.health
                    .record(exchange.server.key(), Observation::Failed, now);
                let message = format!("the answer is not whole: {err}");
                Err(Error::may_have_run(Category::Cut, message))
            }
            Err(_) => Err(Error::may_have_run(Category::Timeout, "no answer in time")),
        }
    }
}
