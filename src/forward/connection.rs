//! Connections to backend servers and the pool that reuses them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use super::peer_stream::PeerStream;
use crate::{
    catalog::{Server, ServerKey},
    sync::lock,
    Category, Error, Instant, Result,
};

/// Longest time to open a connection.
///
/// TCP sends a lost SYN packet again after a second; the request is sent to another server
/// before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Idle time before the first TCP keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Time before the close that a server announces from which an idle connection is not used.
const IDLE_EXPIRY_MARGIN: Duration = Duration::from_millis(350);

/// Time for which an idle connection is usable when the server announces no close.
///
/// Servers announce whole seconds, so one that announces none may close within a second.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(250);

/// Longest time for which an idle connection is usable.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Maximum number of idle connections that are kept for one server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Size of a read buffer, in bytes; the head of a response has to fit.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Pool of idle connections to backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerKey, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// One connection to a server; it is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Failure to get a response, by whether the request was sent.
#[derive(Debug)]
pub enum SendError {
    /// The request was not written; it is returned, so that it can be sent again.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have reached the server.
    MaybeSent(Error),
}

impl ConnectionPool {
    /// Returns an idle connection to the server, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unavailable`] with the verdict "not run" when no connection
    /// to the server can be opened in time.
    pub(super) async fn acquire(&self, server: &Server, now: Instant) -> Result<Connection> {
        if let Some(connection) = self.take(server.key(), now) {
            return Ok(connection);
        }
        open_connection(server.address).await
    }

    /// Keeps a connection whose response was read in full for another request.
    ///
    /// `announced` is the time for which the server says it keeps the connection open.
    pub(super) fn release(
        &self,
        key: ServerKey,
        mut connection: Connection,
        announced: Option<Duration>,
        now: Instant,
    ) {
        let idle_time = match announced {
            Some(announced) => announced
                .saturating_sub(IDLE_EXPIRY_MARGIN)
                .min(MAX_IDLE_TIME),
            None => DEFAULT_IDLE_TIME,
        };
        if connection.tx.is_closed() || idle_time.is_zero() {
            return;
        }
        connection.reused = true;
        let usable_until = now + idle_time;
        let mut all = lock(&self.idle);
        let idle = all.entry(key).or_default();
        idle.retain(|idle| idle.usable_until > now && !idle.connection.tx.is_closed());
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection {
                connection,
                usable_until,
            });
        }
    }

    /// Closes the idle connections that have expired or that the server has closed.
    pub fn sweep(&self, now: Instant) {
        let mut all = lock(&self.idle);
        all.retain(|_, idle| {
            idle.retain(|idle| idle.usable_until > now && !idle.connection.tx.is_closed());
            !idle.is_empty()
        });
    }

    /// Takes the most recently used idle connection, which is the least likely to have been closed.
    fn take(&self, key: ServerKey, now: Instant) -> Option<Connection> {
        let mut all = lock(&self.idle);
        let idle = all.get_mut(&key)?;
        while let Some(IdleConnection {
            connection,
            usable_until,
        }) = idle.pop()
        {
            if usable_until > now && connection.tx.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] when the request was not sent, and
    /// [`SendError::MaybeSent`] when the server may have received it.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        self.tx
            .try_send_request(req)
            .await
            .map_err(|mut err| match err.take_message() {
                Some(req) => SendError::NotSent(Box::new(req)),
                None => {
                    let message = err.error().to_string();
                    SendError::MaybeSent(Error::may_have_run(Category::Cut, message))
                }
            })
    }

    /// Returns whether the connection has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// Returns [`Category::Unavailable`] with the verdict "not run" when the connection cannot be
/// opened in time.
pub async fn open_connection(address: SocketAddr) -> Result<Connection> {
    let unavailable = |message: String| Error::not_run(Category::Unavailable, message);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
    let stream = connected
        .map_err(|_| unavailable("connecting to the server timed out".into()))?
        .map_err(|err| unavailable(format!("cannot connect to the server: {err}")))?;
    let handshake = http1::Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream));
    let (tx, connection) = handshake
        .await
        .map_err(|err| unavailable(err.to_string()))?;
    let driver = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("server connection ended to={address} error=\"{err}\"");
        }
    });
    Ok(Connection {
        tx,
        driver,
        reused: false,
    })
}

async fn connect(address: SocketAddr) -> std::io::Result<PeerStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    set_keepalive(&stream)?;
    Ok(PeerStream::new(stream, address).with_end_check())
}

/// Sets the TCP options by which the operating system detects a peer that is gone without
/// closing a connection on which all data is acknowledged.
///
/// # Errors
///
/// Fails when the operating system rejects the options.
pub(super) fn set_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
