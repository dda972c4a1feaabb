//! Connections to backend servers.

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

use crate::{
    catalog::{Server, ServerKey},
    sync::lock,
    Category, Error, Instant, Result,
};

/// Longest time to open a connection.
///
/// A lost opening packet is sent again after a second; another server is asked sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that data may stay unacknowledged before the connection counts as lost.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Silence after which the system probes a connection, and time between its probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as lost.
const PROBES: u32 = 3;

/// Time before the announced end of an idle connection from which it is not used.
const IDLE_MARGIN: Duration = Duration::from_millis(350);

/// Time for which a connection is used again when the server announces none.
///
/// A server announces whole seconds, so one that announces none may close within one.
const UNANNOUNCED_IDLE: Duration = Duration::from_millis(250);

/// Longest time for which a connection is used again.
const LONGEST_IDLE: Duration = Duration::from_secs(20);

/// Most idle connections to one server.
const MAX_IDLE: usize = 16;

/// Size of a read buffer, in bytes; the head of an answer has to fit.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Idle connections to servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerKey, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    link: Connection,
    until: Instant,
}

/// One connection; it is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How far a request that got no answer has come.
#[derive(Debug)]
pub enum SendError {
    /// It was not written.
    NotSent(Box<Request<Full<Bytes>>>),
    /// It may have arrived.
    MaybeSent(Error),
}

impl ConnectionPool {
    /// Returns an idle connection to the server or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Unavailable`] with the verdict "not run" when the server accepts
    /// no connection in time.
    pub(super) async fn acquire(&self, server: &Server, now: Instant) -> Result<Connection> {
        if let Some(link) = self.take(server.key(), now) {
            return Ok(link);
        }
        open_connection(server.address).await
    }

    /// Keeps a connection whose answer was read whole for the next request.
    ///
    /// `announced` is how long the server keeps it open.
    pub(super) fn release(
        &self,
        key: ServerKey,
        mut link: Connection,
        announced: Option<Duration>,
        now: Instant,
    ) {
        let usable = match announced {
            Some(announced) => announced.saturating_sub(IDLE_MARGIN).min(LONGEST_IDLE),
            None => UNANNOUNCED_IDLE,
        };
        if link.tx.is_closed() || usable.is_zero() {
            return;
        }
        link.used = true;
        let until = now + usable;
        let mut all = lock(&self.idle);
        let idle = all.entry(key).or_default();
        idle.retain(|idle| idle.until > now && !idle.link.tx.is_closed());
        if idle.len() < MAX_IDLE {
            idle.push(Idle { link, until });
        }
    }

    /// Closes connections that are not to be used any more.
    pub fn sweep(&self, now: Instant) {
        let mut all = lock(&self.idle);
        all.retain(|_, idle| {
            idle.retain(|idle| idle.until > now && !idle.link.tx.is_closed());
            !idle.is_empty()
        });
    }

    /// Takes the connection that was used last, as it is the least likely to be closed.
    fn take(&self, key: ServerKey, now: Instant) -> Option<Connection> {
        let mut all = lock(&self.idle);
        let idle = all.get_mut(&key)?;
        while let Some(Idle { link, until }) = idle.pop() {
            if until > now && link.tx.is_ready() {
                return Some(link);
            }
        }
        None
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
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

    /// Returns whether it has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.used
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns [`Category::Unavailable`] with the verdict "not run".
pub async fn open_connection(address: SocketAddr) -> Result<Connection> {
    let refused = |message: String| Error::not_run(Category::Unavailable, message);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
    let stream = connected
        .map_err(|_| refused("the server accepts no connection in time".into()))?
        .map_err(|err| refused(format!("the server accepts no connection: {err}")))?;
    let handshake = http1::Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream));
    let (tx, connection) = handshake.await.map_err(|err| refused(err.to_string()))?;
    let driver = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("server connection ended to={address} error=\"{err}\"");
        }
    });
    Ok(Connection {
        tx,
        driver,
        used: false,
    })
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    set_keepalive(&stream)?;
    Ok(stream)
}

/// Lets the system notice that the other end is gone without a word.
///
/// # Errors
///
/// Fails when the system refuses the options.
pub(super) fn set_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
