//! Bodies of responses that record the end of their exchange.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::{caller_connection::ConnectionRecord, Body, HttpHandler};
use crate::{Clock, Error};

/// Body of a response, whose exchange ends when the body was written or is dropped.
pub(super) struct ExchangeBody<H: HttpHandler> {
    pub(super) body: Body,
    pub(super) _exchange: ExchangeGuard<H>,
}

/// An exchange on a caller's connection, which ends when the guard is dropped.
pub(super) struct ExchangeGuard<H: HttpHandler> {
    record: ConnectionRecord,
    handler: H,
    clock: Clock,
}

impl<H: HttpHandler> ExchangeGuard<H> {
    /// Begins an exchange.
    pub(super) fn begin(record: ConnectionRecord, handler: H, clock: Clock) -> Self {
        record.begin_exchange();
        ExchangeGuard {
            record,
            handler,
            clock,
        }
    }
}

impl<H: HttpHandler> Drop for ExchangeGuard<H> {
    fn drop(&mut self) {
        let idle_limit = self.handler.idle_limit();
        self.record.end_exchange(idle_limit, self.clock.now());
    }
}

impl<H: HttpHandler> http_body::Body for ExchangeBody<H> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
