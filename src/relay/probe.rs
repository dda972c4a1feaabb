//! Probes whether the process that listens at an address has ended.

use std::{io, net::SocketAddr, time::Duration};

use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{backend::url, BackendClients};
use crate::Incarnation;

/// Largest load report that is read.
const MAX_LOAD_REPORT_BYTES: usize = 16 * 1024;

/// Longest time to fetch a load report.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a new connection must stay open to show that its server is alive.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);

/// Maximum number of connections tried: a process that is ending may still accept some and
/// close each at once, before it refuses further ones.
const MAX_PROBES: usize = 5;

/// The field of an engine's load report that is read here.
#[derive(Deserialize)]
struct LoadReport {
    incarnation: Option<Incarnation>,
}

/// Returns the incarnation in the load report of the engine at `address`, or `None` if the
/// engine does not answer or reports no incarnation.
pub(super) async fn read_incarnation(
    address: SocketAddr,
    backends: &BackendClients,
) -> Option<Incarnation> {
    let req = Request::get(url(address, "/load")).body(Full::default());
    let read = async {
        let answer = backends.send_on_new_connection(req.ok()?).await.ok()?;
        let body = Limited::new(answer.into_body(), MAX_LOAD_REPORT_BYTES).collect();
        body.await.ok()
    };
    let body = tokio::time::timeout(LOAD_REPORT_TIMEOUT, read)
        .await
        .ok()??;
    let report: LoadReport = serde_json::from_slice(&body.to_bytes()).ok()?;
    report.incarnation
}

/// Returns whether no process listens at `address` any more.
///
/// A server that does not answer within `timeout` may be unreachable, and counts as alive.
pub(super) async fn refuses_connections(address: SocketAddr, timeout: Duration) -> bool {
    for _ in 0..MAX_PROBES {
        match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => return true,
            Ok(Ok(stream)) => {
                if !closes_at_once(stream).await {
                    return false;
                }
            }
            _ => return false,
        }
    }
    false
}

/// Returns whether the server closes a connection on which nothing was sent.
async fn closes_at_once(mut stream: TcpStream) -> bool {
    let read = tokio::time::timeout(MIN_OPEN_TIME, stream.read_u8()).await;
    read.is_ok()
}
