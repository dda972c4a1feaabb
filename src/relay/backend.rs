//! HTTP clients of the backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{connect::HttpConnector, Client},
    rt::{TokioExecutor, TokioTimer},
};

use super::answer::cut;
use crate::{config::Limits, Category, Error, Result};

/// Longest time an idle connection is used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

type Http = Client<HttpConnector, Full<Bytes>>;

/// The clients: one that uses connections again, one that opens one for each call.
#[derive(Debug)]
pub struct BackendClients {
    pooled: Http,
    fresh: Http,
    progress_timeout: Duration,
}

impl BackendClients {
    /// Creates the clients.
    pub fn new(limits: &Limits) -> Self {
        BackendClients {
            pooled: client(limits, usize::MAX),
            fresh: client(limits, 0),
            progress_timeout: limits.progress_timeout,
        }
    }

    /// Sends a request on any connection and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The verdict is "not run" only when no connection could be opened.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.exchange(&self.pooled, req).await
    }

    /// Sends a request on a connection opened for it.
    ///
    /// # Errors
    ///
    /// As for [`BackendClients::send`].
    pub async fn send_on_new_connection(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.exchange(&self.fresh, req).await
    }

    /// Returns the longest time a backend server may stay silent.
    pub fn progress_timeout(&self) -> Duration {
        self.progress_timeout
    }

    async fn exchange(
        &self,
        client: &Http,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        match tokio::time::timeout(self.progress_timeout, client.request(req)).await {
            Ok(answer) => answer.map_err(transport_error),
            Err(_) => Err(Error::may_have_run(
                Category::Timeout,
                "the server is silent",
            )),
        }
    }
}

fn client(limits: &Limits, max_idle: usize) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(false)
        .build(connector)
}

fn transport_error(err: hyper_util::client::legacy::Error) -> Error {
    if err.is_connect() {
        Error::not_run(Category::Unavailable, "the server accepts no connection")
    } else {
        cut(&err.to_string())
    }
}

/// Returns the address of `path` on the server at `address`.
pub(super) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
