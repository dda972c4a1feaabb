//! The client of the routers' administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{connect::HttpConnector, Client},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::args::Connection;
use crate::{Category, Error, Result, Verdict};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(45);

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client that tries its routers in order until one serves the request.
pub(super) struct AdminClient {
    routers: Vec<SocketAddr>,
    bearer: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// The body of an error response.
#[derive(Deserialize)]
struct ErrorBody {
    reason: Category,
    message: String,
    verdict: Verdict,
}

impl AdminClient {
    /// Creates a client from the arguments and the environment.
    pub(super) fn new(connection: &Connection) -> Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(AdminClient {
            routers: routers(connection)?,
            bearer: format!("Bearer {}", token(connection)?),
            http: Client::builder(TokioExecutor::new()).build(connector),
        })
    }

    /// Sends a `GET` request for `path` and returns the response body.
    pub(super) async fn get(&self, path: &str) -> Result<Value> {
        let response = self.call(Method::GET, path, Bytes::new()).await;
        // A read changes nothing, so a failed one counts as not run.
        response.map_err(|err| Error::not_run(err.classify(), err.message()))
    }

    /// Sends `body` to `path` in a `POST` request and returns the response body.
    pub(super) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value> {
        let body = serde_json::to_vec(body).map_err(bad_input)?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Tries the routers in order until one responds or may have carried out the request.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value> {
        let mut last_error = Error::not_run(
            Category::Unavailable,
            "no router given: pass --routers or set EBONYSPUR_ROUTERS",
        );
        for router in &self.routers {
            let response = self
                .send_to(*router, method.clone(), path, body.clone())
                .await;
            match response {
                Err(err) if may_try_next(&method, &err) => last_error = err,
                other => return other,
            }
        }
        Err(last_error)
    }

    /// Sends a request to one router; errors name the router.
    async fn send_to(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{router}{path}"))
            .header(header::AUTHORIZATION, &self.bearer)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(bad_input)?;
        let timed_out =
            |_| Error::may_have_run(Category::Timeout, format!("{router}: no response in time"));
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(req)).await;
        let response = response.map_err(timed_out)?;
        response.map_err(|err| {
            let message = format!("{router}: {}", err.message());
            Error::new(err.classify(), err.verdict(), message)
        })
    }

    /// Sends a request and decodes the response.
    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Value> {
        let response = self.http.request(req).await.map_err(|err| {
            let verdict = if err.is_connect() {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            };
            Error::new(Category::Unavailable, verdict, err.to_string())
        })?;
        let status = response.status();
        let malformed = |text: String| Error::may_have_run(Category::Protocol, text);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|err| malformed(err.to_string()))?.to_bytes();
        if !status.is_success() {
            let error_body: ErrorBody = serde_json::from_slice(&body).map_err(|_| {
                malformed(format!("unreadable error response with status {status}"))
            })?;
            return Err(Error::new(
                error_body.reason,
                error_body.verdict,
                error_body.message,
            ));
        }
        serde_json::from_slice(&body).map_err(|err| malformed(err.to_string()))
    }
}

/// Decides whether the next router may get the request after one failed with `err`.
fn may_try_next(method: &Method, err: &Error) -> bool {
    let is_safe_to_repeat = method == Method::GET || err.verdict() == Verdict::NotRun;
    let may_succeed_elsewhere = matches!(
        err.classify(),
        Category::Unavailable | Category::NotServing | Category::LogUnavailable | Category::Timeout
    );
    is_safe_to_repeat && may_succeed_elsewhere
}

fn bad_input(err: impl std::fmt::Display) -> Error {
    Error::not_run(Category::BadInput, err.to_string())
}

/// Returns the addresses from the arguments, or else from the environment.
fn routers(connection: &Connection) -> Result<Vec<SocketAddr>> {
    if !connection.routers.is_empty() {
        return Ok(connection.routers.clone());
    }
    let text = std::env::var("EBONYSPUR_ROUTERS").unwrap_or_default();
    let addresses = text.split(',').filter(|part| !part.is_empty());
    let parsed: std::result::Result<Vec<_>, _> = addresses.map(str::parse).collect();
    parsed.map_err(|_| bad_input("EBONYSPUR_ROUTERS: must be a list of IP:PORT"))
}

/// Returns the token from the file in the arguments, or else from the environment.
fn token(connection: &Connection) -> Result<String> {
    let Some(file) = &connection.token_file else {
        return Ok(std::env::var("EBONYSPUR_TOKEN").unwrap_or_default());
    };
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|err| bad_input(format!("{}: {err}", file.display())))?;
    Ok(text.trim().to_string())
}
