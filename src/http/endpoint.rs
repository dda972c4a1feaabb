//! Ties a handler function to the router whose state it uses.

use std::{future::Future, panic::RefUnwindSafe, pin::Pin, sync::Arc};

use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Response, Uri};

use super::response::error_response;
use crate::{Result, Router};

/// A request as gotham hands it over.
pub(super) struct HttpRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Body,
}

/// A handler function and the router it works on.
pub(super) struct Endpoint<H> {
    cx: Arc<Router>,
    handler: H,
}

impl<H> Endpoint<H> {
    /// Creates the endpoint.
    pub(super) fn new(cx: &Arc<Router>, handler: H) -> Self {
        let cx = cx.clone();
        Endpoint { cx, handler }
    }
}

// A panic in a handler ends its request; the slices' locks recover from it.
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
        let incoming = HttpRequest {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            body: Body::take_from(&mut state),
        };
        Box::pin(async move {
            let answer = (self.handler)(self.cx, incoming).await;
            let answer = answer.unwrap_or_else(|err| error_response(&err));
            Ok((state, answer))
        })
    }
}
