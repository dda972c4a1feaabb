//! A small JSON client over HTTP, with a timeout for each request.

use std::{sync::atomic::AtomicU64, time::Duration};

use bytes::Bytes;
use http::{header::CONTENT_TYPE, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{connect::HttpConnector, Client},
    rt::{TokioExecutor, TokioTimer},
};
use prometheus_client::metrics::counter::Counter;
use serde::{de::DeserializeOwned, Serialize};

use crate::{Category, Error, Result};

/// Largest response body accepted.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time after which an idle connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client that exchanges JSON with one service over HTTP.
#[derive(Debug, Clone)]
pub struct JsonClient {
    base_url: String,
    http: Client<HttpConnector, Full<Bytes>>,
    exchanged_bytes: Counter<u64, AtomicU64>,
}

impl JsonClient {
    /// Creates a client for the service at `base_url`.
    pub fn new(base_url: &Uri) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        let base_url = base_url.to_string().trim_end_matches('/').to_string();
        JsonClient {
            base_url,
            http,
            exchanged_bytes: Counter::default(),
        }
    }

    /// Counts the bytes of paths and bodies, both sent and received, in `exchanged_bytes`.
    #[must_use]
    pub fn with_counter(mut self, exchanged_bytes: Counter<u64, AtomicU64>) -> Self {
        self.exchanged_bytes = exchanged_bytes;
        self
    }

    /// Sends a GET request for `path` and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives within `timeout`; a read changes nothing,
    /// so the verdict is "not run".
    pub async fn get<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T> {
        let req = self.request(Method::GET, path, Bytes::new())?;
        self.send(req, timeout)
            .await
            .map_err(|err| Error::not_run(err.classify(), err.message()))
    }

    /// Posts `body` to `path` and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives within `timeout`. The verdict is "may have
    /// run" unless no connection was established or the service refused the request.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T> {
        let body = serde_json::to_vec(body)
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))?;
        let req = self.request(Method::POST, path, body.into())?;
        self.send(req, timeout).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        self.exchanged_bytes
            .inc_by((path.len() + body.len()) as u64);
        Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|err| Error::not_run(Category::BadInput, err.to_string()))
    }

    async fn send<T: DeserializeOwned>(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<T> {
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(response) => response,
            Err(_) => Err(Error::may_have_run(
                Category::Timeout,
                "the service did not answer in time",
            )),
        }
    }

    async fn exchange<T: DeserializeOwned>(&self, req: Request<Full<Bytes>>) -> Result<T> {
        let response = self.http.request(req).await.map_err(transport_error)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(body_error)?.to_bytes();
        self.exchanged_bytes.inc_by(body.len() as u64);
        check_status(status, &body)?;
        serde_json::from_slice(&body).map_err(body_error)
    }
}

fn transport_error(err: hyper_util::client::legacy::Error) -> Error {
    if err.is_connect() {
        Error::not_run(Category::Unavailable, err.to_string())
    } else {
        Error::may_have_run(Category::Unavailable, err.to_string())
    }
}

fn body_error(err: impl std::fmt::Display) -> Error {
    Error::may_have_run(Category::Protocol, err.to_string())
}

/// Returns an error for a status that is no success.
///
/// Only 4xx and 503 prove that the service has not run the request.
fn check_status(status: StatusCode, body: &[u8]) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
    let message = format!("the service answered {status}: {text}");
    Err(match status {
        StatusCode::GONE => Error::not_run(Category::KeyExpired, message),
        StatusCode::NOT_FOUND => Error::not_run(Category::NotFound, message),
        StatusCode::CONFLICT => Error::not_run(Category::Conflict, message),
        StatusCode::TOO_MANY_REQUESTS => Error::not_run(Category::Overloaded, message),
        StatusCode::SERVICE_UNAVAILABLE => Error::not_run(Category::Unavailable, message),
        _ if status.is_client_error() => Error::not_run(Category::BadInput, message),
        _ => Error::may_have_run(Category::Backend, message),
    })
}
