//! Interface to the HTTP dialect that callers and backend servers use.

use std::{net::SocketAddr, time::Duration};

use http::{request, HeaderMap, Response, StatusCode};

use super::Body;
use crate::{
    admission::RateLimit,
    catalog::{LoadReport, Server},
    placement::PromptPart,
    Error, RequestId, Result, TeamName,
};

/// Contents of the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of this attempt of the caller.
    pub attempt: Option<RequestId>,
    /// Key that authenticates the caller's team.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits, counted from the arrival of the request.
    pub timeout: Option<Duration>,
    /// Parts of the prompt, in the order of the prompt.
    pub prompt: Vec<PromptPart>,
    /// Number of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Values that the router adds to a request for a backend server.
#[derive(Debug)]
pub struct ForwardParams<'a> {
    /// Server that the request is meant for; no other server may run it.
    pub server: &'a Server,
    /// Team of the caller, if it is known.
    pub team: Option<&'a TeamName>,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time left until the final response is due.
    pub time_left: Option<Duration>,
    /// Number of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Address of another server from which this one can copy its cached prompt prefix.
    pub prompt_source: Option<SocketAddr>,
}

/// Outcome of a request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The server ran the request.
    Ran,
    /// The server did not run the request and will not.
    NotRun,
    /// The address now belongs to another server, which did not run the request.
    Misdirected,
    /// The response belongs to another request.
    AttemptMismatch,
    /// The response claims success without the proof that the server ran the request.
    Unproven,
}

/// Contents of the head of a server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// Outcome of the request.
    pub outcome: RunOutcome,
    /// Whether the response names the attempt that it belongs to.
    pub names_attempt: bool,
    /// Time for which the server keeps the connection open without a request, if announced.
    pub keep_alive: Option<Duration>,
    /// Limit on the requests that the server takes from all routers together, if it names one.
    pub limit: Option<RateLimit>,
    /// Whether the server announces that it is shutting down.
    pub is_leaving: bool,
    /// Time for which a server that rejects the request takes none of this router, if it names one.
    pub retry_after: Option<Duration>,
    /// What the response says about the load of the server.
    pub load: LoadReport,
}

/// Parses and writes the heads of requests and responses.
pub trait Wire: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`](crate::Category::BadInput) for a malformed head.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead>;

    /// Returns the headers of a request to a server, made from those of the caller.
    fn request_headers(&self, from_caller: &HeaderMap, params: &ForwardParams<'_>) -> HeaderMap;

    /// Parses the head of a server's response to the given attempt.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&RequestId>,
    ) -> ResponseHead;

    /// Returns the headers of a response to a caller, made from those of the server.
    fn response_headers(&self, from_server: HeaderMap) -> HeaderMap;

    /// Returns the response to a caller whose request was refused or failed.
    fn error_response(&self, err: &Error, attempt: Option<&RequestId>) -> Response<Body>;
}
