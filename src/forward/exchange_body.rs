//! Bodies of responses that record the end of their exchange.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue};
use http_body::{Frame, SizeHint};

use super::{caller_connection::ConnectionRecord, Body, HttpHandler};
use crate::{memory::Holding, Clock, Error};

/// Header with the time for which an idle connection stays open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

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
    /// Idle limit that the head of the response announced.
    announced: Duration,
    /// Memory that the exchange holds until it ends.
    holding: Option<Holding>,
}

impl<H: HttpHandler> ExchangeGuard<H> {
    /// Begins an exchange.
    pub(super) fn begin(record: ConnectionRecord, handler: H, clock: Clock) -> Self {
        record.begin_exchange();
        ExchangeGuard {
            record,
            handler,
            clock,
            announced: Duration::ZERO,
            holding: None,
        }
    }

    /// Holds the memory of the exchange until its end.
    pub(super) fn hold(&mut self, holding: Holding) {
        self.holding = Some(holding);
    }

    /// Announces in the head of the response for how long the caller may use the connection again.
    ///
    /// Does nothing for limits below a second, as the header counts whole seconds.
    pub(super) fn announce_idle_limit(&mut self, headers: &mut HeaderMap) {
        let idle_limit = self.handler.idle_limit();
        let seconds = idle_limit.as_secs();
        if seconds == 0 || headers.contains_key(header::CONNECTION) {
            return;
        }
        match HeaderValue::try_from(format!("timeout={seconds}")) {
            Ok(timeout) => {
                self.announced = idle_limit;
                headers.insert(header::CONNECTION, HeaderValue::from_static("keep-alive"));
                headers.insert(KEEP_ALIVE, timeout);
            }
            Err(err) => log::error!("cannot announce the idle limit error=\"{err}\""),
        }
    }
}

impl<H: HttpHandler> Drop for ExchangeGuard<H> {
    fn drop(&mut self) {
        let idle_limit = self.handler.idle_limit().max(self.announced);
        let now = self.clock.now();
        self.record.end_exchange(idle_limit, now);
        if let Some(holding) = &self.holding {
            holding.keep(now + idle_limit, now);
        }
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
