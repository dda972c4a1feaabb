//! HTTP server and client of the simulators.

use std::{
    collections::HashMap,
    fmt,
    future::{ready, Future, Ready},
    net::SocketAddr,
    panic::RefUnwindSafe,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{connect::HttpConnector, Client},
    rt::TokioExecutor,
};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

/// An answer that refuses a request, boxed as it is the error of results.
pub type Refusal = Box<Response<Body>>;

/// A request with its whole body.
pub struct Req {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Req {
    /// Returns the segments of the path without empty ones.
    pub fn path(&self) -> Vec<&str> {
        self.uri
            .path()
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Returns a number from the query, or `default` when it is missing or no number.
    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.text(key).parse().unwrap_or(default)
    }

    /// Returns a value from the query, empty when it is missing.
    pub fn text(&self, key: &str) -> String {
        let pairs = self.uri.query().unwrap_or_default().split('&');
        let query: HashMap<_, _> = pairs.filter_map(|pair| pair.split_once('=')).collect();
        query.get(key).copied().unwrap_or_default().to_string()
    }

    /// Returns a header as text, empty when it is missing or not text.
    pub fn header(&self, key: &str) -> String {
        let value = self.headers.get(key).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an answer with status 400 when the body is not valid.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Box::new(json(StatusCode::BAD_REQUEST, &err.to_string())))
    }
}

/// Adapter from a handler function with shared state to the server's traits.
struct App<S, H> {
    state: Arc<S>,
    handler: H,
}

impl<S, H> RefUnwindSafe for App<S, H> {}

impl<S, H, F> NewHandler for App<S, H>
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Req) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        let state = self.state.clone();
        let handler = self.handler;
        Ok(App { state, handler })
    }
}

impl<S, H, F> Handler for App<S, H>
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Req) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let body = Body::take_from(&mut state).collect().await;
            let req = Req {
                method: Method::take_from(&mut state),
                uri: Uri::take_from(&mut state),
                headers: HeaderMap::take_from(&mut state),
                body: body.map(|body| body.to_bytes()).unwrap_or_default(),
            };
            let answer = (self.handler)(self.state.clone(), req).await;
            Ok((state, answer))
        })
    }
}

/// Serves `handler` on `address` until the process ends.
///
/// Exits the process when the address cannot be bound.
pub async fn serve<S, H, F>(address: SocketAddr, state: Arc<S>, handler: H)
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Req) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.unwrap_or_else(|err| {
        eprintln!("stand-in: cannot listen on {address}: {err}");
        std::process::exit(1);
    });
    gotham::bind_server(listener, App { state, handler }, set_nodelay).await;
}

/// Disables Nagle's algorithm, so that each part of a stream is sent at once.
fn set_nodelay(stream: TcpStream) -> Ready<Result<TcpStream, ()>> {
    let set = stream.set_nodelay(true).map_err(|_| ());
    ready(set.map(|()| stream))
}

/// Builds a JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("JSON");
    let body = Full::new(Bytes::from(body))
        .map_err(|never| match never {})
        .boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body)
        .expect("a valid answer")
}

/// HTTP client of the simulators.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that gives up a connection attempt after a second.
pub fn client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Failure of a request that got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be opened, so the request was never sent.
    Unsent(String),
    /// The request may have arrived.
    Sent(String),
}

impl SendError {
    fn new(err: hyper_util::client::legacy::Error) -> Self {
        if err.is_connect() {
            SendError::Unsent(err.to_string())
        } else {
            SendError::Sent(err.to_string())
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (SendError::Unsent(text) | SendError::Sent(text)) = self;
        f.write_str(text)
    }
}

/// Sends a request and returns the answer, whose body is not read yet.
///
/// # Errors
///
/// Fails when no connection can be opened or the connection breaks before the answer.
pub async fn send(
    http: &Http,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Response<Incoming>, SendError> {
    let mut req = Request::builder().method(method).uri(url);
    for (key, value) in headers {
        req = req.header(*key, *value);
    }
    let req = req
        .body(Full::new(body.into()))
        .map_err(|err| SendError::Unsent(err.to_string()))?;
    http.request(req).await.map_err(SendError::new)
}

/// Sends a request and returns the status and the JSON body of the answer, null if it has none.
///
/// # Errors
///
/// Fails as [`send`] does, and when the connection breaks within the answer.
pub async fn call(
    http: &Http,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<(StatusCode, Value), SendError> {
    let answer = send(http, method, url, headers, body).await?;
    let status = answer.status();
    let body = answer
        .into_body()
        .collect()
        .await
        .map_err(|err| SendError::Sent(err.to_string()))?;
    let value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    Ok((status, value))
}
