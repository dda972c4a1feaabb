//! Adapts a handler function to gotham's handler traits.

use std::{future::Future, panic::RefUnwindSafe, pin::Pin, sync::Arc};

use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Response, Uri};

use super::response::error_response;
use crate::{Result, Router};

/// An HTTP request, taken from gotham's request state.
pub(super) struct HttpRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Body,
}

/// A handler function and the router whose state it uses.
pub(super) struct Endpoint<H> {
    cx: Arc<Router>,
    handler: H,
}

impl<H> Endpoint<H> {
    /// Creates an endpoint that calls `handler` with `cx`.
    pub(super) fn new(cx: &Arc<Router>, handler: H) -> Self {
        let cx = cx.clone();
        Endpoint { cx, handler }
    }
}

// A panic in a handler ends only its request; the locks of the router's state recover from
// poisoning.
impl<H> RefUnwindSafe for Endpoint<H> {}

impl<H: Copy + Send + Sync> NewHandler for Endpoint<H>
where
    Endpoint<H>: Handler,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(Endpoint::new(&self.cx, self.handler))
    }
}

impl<H, F> Handler for Endpoint<H>
where
    H: FnOnce(Arc<Router>, HttpRequest) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = HttpRequest {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
        };
        Box::pin(async move {
            let answer = (self.handler)(self.cx, request).await;
            let answer = answer.unwrap_or_else(|err| error_response(&err));
            Ok((state, answer))
        })
    }
}
