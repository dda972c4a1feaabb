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

use super::answer::connection_lost_error;
use crate::{config::Limits, Category, Error, Result};

/// Longest time for which an idle connection is kept for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Two HTTP clients: one that reuses idle connections, and one that opens a new connection
/// for each request.
#[derive(Debug)]
pub struct BackendClients {
    pooled: HttpClient,
    unpooled: HttpClient,
    progress_timeout: Duration,
}

impl BackendClients {
    /// Creates both clients with the timeouts in `limits`.
    pub fn new(limits: &Limits) -> Self {
        BackendClients {
            pooled: build_client(limits, usize::MAX),
            unpooled: build_client(limits, 0),
            progress_timeout: limits.progress_timeout,
        }
    }

    /// Sends a request on an idle or a new connection and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, the connection is lost or the head does not
    /// arrive within the progress timeout. The verdict is "not run" only when no connection
    /// could be opened.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.exchange(&self.pooled, req).await
    }

    /// Sends a request on a new connection and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`BackendClients::send`].
    pub async fn send_on_new_connection(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.exchange(&self.unpooled, req).await
    }

    /// Returns the longest time for which a backend server may send nothing.
    pub fn progress_timeout(&self) -> Duration {
        self.progress_timeout
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        match tokio::time::timeout(self.progress_timeout, client.request(req)).await {
            Ok(answer) => answer.map_err(transport_error),
            Err(_) => Err(Error::may_have_run(
                Category::Timeout,
                "the backend server sent nothing within the progress timeout",
            )),
        }
    }
}

fn build_client(limits: &Limits, max_idle: usize) -> HttpClient {
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
        Error::not_run(
            Category::Unavailable,
            "cannot connect to the backend server",
        )
    } else {
        connection_lost_error(&err.to_string())
    }
}

/// Returns the URL of `path` on the server at `address`.
pub(super) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
