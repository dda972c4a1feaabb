//! Tells whether the process behind an address has ended.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{io::AsyncReadExt, net::TcpStream};

/// How long a new connection must stay open to show that its server lives.
const OPEN_TIME: Duration = Duration::from_millis(100);

/// Connections tried while they are closed at once, as by a process that is ending.
const MAX_PROBES: usize = 5;

/// Returns whether nothing listens at `address` any more.
///
/// A server that does not answer within `timeout` may be out of reach, and is taken
/// for alive.
pub(super) async fn has_ended(address: SocketAddr, timeout: Duration) -> bool {
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
