//! The port to the dialect of HTTP that callers and backend servers use.

use std::{net::SocketAddr, time::Duration};

use http::{request, HeaderMap, Response, StatusCode};

use super::Body;
use crate::{catalog::Server, placement::PromptPart, Error, RequestId, Result, TeamName};

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Names this attempt of the caller.
    pub attempt: Option<RequestId>,
    /// Proves the caller's team.
    pub key: Option<Box<str>>,
    /// Time that the caller waits from now on.
    pub timeout: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Number of the last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// What a backend server is told besides what the caller sent.
#[derive(Debug)]
pub struct ForwardParams<'a> {
    /// The server that must run the request, or none.
    pub server: &'a Server,
    /// Team of the caller.
    pub team: Option<&'a TeamName>,
    /// Time that is left.
    pub time_left: Option<Duration>,
    /// Number of the last event that the caller has of a stream.
    pub last_event: Option<u64>,
    /// Another server that holds the beginning of the prompt, to copy it from.
    pub prompt_source: Option<SocketAddr>,
}

/// What became of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The server ran it.
    Ran,
    /// The server did not run it and will not.
    NotRun,
    /// Another server has the address; it did not run the request.
    Misdirected,
    /// The answer belongs to another request.
    AttemptMismatch,
}

/// What the head of a server's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// What became of the request.
    pub outcome: RunOutcome,
    /// Time that the server keeps the connection open without a request.
    pub keep_alive: Option<Duration>,
}

/// Reads and writes the heads of requests and answers.
pub trait Wire: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`Category::BadInput`](crate::Category::BadInput) for a malformed head.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead>;

    /// Returns the headers for a server.
    fn request_headers(&self, from_caller: &HeaderMap, passing: &ForwardParams<'_>) -> HeaderMap;

    /// Reads the head of a server's answer to the attempt.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&RequestId>,
    ) -> ResponseHead;

    /// Returns the headers of a server's answer that the caller gets.
    fn response_headers(&self, from_server: HeaderMap) -> HeaderMap;

    /// Returns the answer to a caller whose request was refused or has failed.
    fn error_response(&self, err: &Error, attempt: Option<&RequestId>) -> Response<Body>;
}
