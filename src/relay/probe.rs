//! Tells whether the process behind an address has ended.

use std::{io, net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{backend::url, BackendClients};
use crate::Incarnation;

/// Largest load report, in bytes.
const MAX_REPORT: usize = 16 * 1024;

/// Longest time for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a new connection must stay open to show that its server lives.
const OPEN_TIME: Duration = Duration::from_millis(100);

/// Connections tried while they are closed at once, as by a process that is ending.
const MAX_PROBES: usize = 5;

/// The part of an engine's load report that tells its life.
#[derive(Deserialize)]
struct LifeReport {
    incarnation: Option<Incarnation>,
}

/// Returns the life of the engine at `address`, if it answers and says it.
pub(super) async fn read_incarnation(
    address: SocketAddr,
    backends: &BackendClients,
) -> Option<Incarnation> {
    let req = Request::get(url(address, "/load")).body(Full::default());
    let read = async {
        let answer = backends.send_on_new_connection(req.ok()?).await.ok()?;
        let body = Limited::new(answer.into_body(), MAX_REPORT).collect();
        body.await.ok()
    };
    let body = tokio::time::timeout(REPORT_TIMEOUT, read).await.ok()??;
    let report: LifeReport = serde_json::from_slice(&body.to_bytes()).ok()?;
    report.incarnation
}

/// Returns whether nothing listens at `address` any more.
///
/// A server that does not answer within `timeout` may be out of reach, and is taken
/// for alive.
pub(super) async fn refuses_connections(address: SocketAddr, timeout: Duration) -> bool {
    for _ in 0..MAX_PROBES {
        match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => return true,
            Ok(Ok(stream)) => {
                if !closes(stream).await {
                    return false;
                }
            }
            _ => return false,
        }
    }
    false
}

/// Returns whether the server closes a connection without being asked anything.
async fn closes(mut stream: TcpStream) -> bool {
    let read = tokio::time::timeout(OPEN_TIME, stream.read_u8()).await;
    read.is_ok()
}
