//! The administration API as the command line calls it.

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

/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_secs(45);

/// Largest answer accepted, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A client that asks the first router that can answer.
pub(super) struct AdminClient {
    routers: Vec<SocketAddr>,
    bearer: String,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A refusal of a router.
#[derive(Deserialize)]
struct Refusal {
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

    /// Reads `path`.
    pub(super) async fn get(&self, path: &str) -> Result<Value> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        // A read changes nothing, whatever became of it.
        answer.map_err(|err| Error::not_run(err.classify(), err.message()))
    }

    /// Posts `body` to `path`.
    pub(super) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value> {
        let body = serde_json::to_vec(body).map_err(bad_input)?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Asks one router after the other until one has answered or may have run the call.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Value> {
        let mut last = Error::not_run(Category::Unavailable, "no router given: use --routers");
        for router in &self.routers {
            let answer = self.ask(*router, method.clone(), path, body.clone()).await;
            match answer {
                Err(err) if may_ask_next(&method, &err) => last = err,
                other => return other,
            }
        }
        Err(last)
    }

    async fn ask(
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
        let late =
            |_| Error::may_have_run(Category::Timeout, format!("{router}: no answer in time"));
        let answer = tokio::time::timeout(TIMEOUT, self.exchange(req)).await;
        let answer = answer.map_err(late)?;
        answer.map_err(|err| {
            let message = format!("{router}: {}", err.message());
            Error::new(err.classify(), err.verdict(), message)
        })
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Value> {
        let answer = self.http.request(req).await.map_err(|err| {
            let verdict = if err.is_connect() {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            };
            Error::new(Category::Unavailable, verdict, err.to_string())
        })?;
        let status = answer.status();
        let broken = |text: String| Error::may_have_run(Category::Protocol, text);
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|err| broken(err.to_string()))?.to_bytes();
        if !status.is_success() {
            let refusal: Refusal =
                serde_json::from_slice(&body).map_err(|_| broken(format!("answered {status}")))?;
            return Err(Error::new(refusal.reason, refusal.verdict, refusal.message));
        }
        serde_json::from_slice(&body).map_err(|err| broken(err.to_string()))
    }
}

fn may_ask_next(method: &Method, err: &Error) -> bool {
    let is_harmless = method == Method::GET || err.verdict() == Verdict::NotRun;
    let is_elsewhere = matches!(
        err.classify(),
        Category::Unavailable | Category::NotServing | Category::LogUnavailable | Category::Timeout
    );
    is_harmless && is_elsewhere
}

fn bad_input(err: impl std::fmt::Display) -> Error {
    Error::not_run(Category::BadInput, err.to_string())
}

fn routers(connection: &Connection) -> Result<Vec<SocketAddr>> {
    if !connection.routers.is_empty() {
        return Ok(connection.routers.clone());
    }
    let text = std::env::var("EBONYSPUR_ROUTERS").unwrap_or_default();
    let addresses = text.split(',').filter(|part| !part.is_empty());
    let parsed: std::result::Result<Vec<_>, _> = addresses.map(str::parse).collect();
    parsed.map_err(|_| bad_input("EBONYSPUR_ROUTERS: must be a list of IP:PORT"))
}

fn token(connection: &Connection) -> Result<String> {
    let Some(file) = &connection.token_file else {
        return Ok(std::env::var("EBONYSPUR_TOKEN").unwrap_or_default());
    };
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|err| bad_input(format!("{}: {err}", file.display())))?;
    Ok(text.trim().to_string())
}
