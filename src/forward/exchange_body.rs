//! Bodies of responses that record the end of their exchange.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::{caller_connection::ConnectionRecord, Body};
use crate::{Clock, Error};

/// Body of a response, whose exchange ends when the body was written or is dropped.
pub(super) struct ExchangeBody {
    pub(super) body: Body,
    pub(super) _exchange: ExchangeGuard,
}

/// An exchange on a caller's connection, which ends when the guard is dropped.
pub(super) struct ExchangeGuard {
    record: ConnectionRecord,
    clock: Clock,
}

impl ExchangeGuard {
    /// Begins an exchange.
    pub(super) fn begin(record: ConnectionRecord, clock: Clock) -> Self {
        record.begin_exchange();
        ExchangeGuard { record, clock }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.record.end_exchange(self.clock.now());
    }
}

impl http_body::Body for ExchangeBody {
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
