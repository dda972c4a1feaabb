//! The first frames of a connection, by which both ends prove that they hold a key now.
//!
//! The server sends a nonce. The client answers with a nonce of its own and its name,
//! sealed together with the server's nonce. All further frames are sealed together with
//! both nonces and their direction. A recorded connection can so neither be replayed to
//! a server nor to a client.

use std::{io, sync::atomic::AtomicU64};

use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use uuid::Uuid;

use super::{message::Hello, Authenticator, FrameReader, FrameWriter, MAX_FRAME};

/// Largest frame before the client has proved its key, in bytes.
const MAX_HELLO: usize = 512;

/// Parts of the context of the frames.
const HELLO: &[u8] = b"hello";
const TO_SERVER: &[u8] = b"to server";
const TO_CLIENT: &[u8] = b"to client";

/// A number that is never used twice.
type Nonce = [u8; 16];

/// First frame of the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Challenge {
    nonce: Nonce,
}

/// First frame of the client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    hello: Hello,
    nonce: Nonce,
}

/// Both directions of a connection after the handshake.
pub struct Channel {
    /// Frames to the other end.
    pub tx: FrameWriter,
    /// Frames from the other end.
    pub rx: FrameReader,
}

/// Opens a connection as its client.
///
/// # Errors
///
/// Fails when the server holds none of the keys, or the connection fails.
pub async fn connect<R, W>(
    sealer: &Authenticator,
    hello: &Hello,
    reader: &mut R,
    writer: &mut W,
    bytes: &Counter<u64, AtomicU64>,
) -> io::Result<Channel>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut rx = FrameReader::new(sealer.clone()).with_limit(MAX_HELLO);
    let challenge: Challenge = rx.read(reader).await?;
    let nonce = Uuid::new_v4().into_bytes();
    let answer = Answer {
        hello: hello.clone(),
        nonce,
    };
    let sealed_hello = sealer.with_context(&[HELLO, &challenge.nonce]);
    let mut first = FrameWriter::new(sealed_hello).with_counter(bytes.clone());
    first.write(writer, &answer).await?;
    let direction = |name| sealer.with_context(&[name, &challenge.nonce, &nonce]);
    Ok(Channel {
        tx: FrameWriter::new(direction(TO_SERVER)).with_counter(bytes.clone()),
        rx: rx.with_sealer(direction(TO_CLIENT)).with_limit(MAX_FRAME),
    })
}

/// Accepts a connection as its server, and returns who has opened it.
///
/// # Errors
///
/// Fails when the client holds none of the keys, or the connection fails.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    sealer: &Authenticator,
    stream: &mut S,
    bytes: &Counter<u64, AtomicU64>,
) -> io::Result<(Hello, Channel)> {
    let nonce = Uuid::new_v4().into_bytes();
    let mut first = FrameWriter::new(sealer.clone()).with_counter(bytes.clone());
    first.write(stream, &Challenge { nonce }).await?;
    let sealed_hello = sealer.with_context(&[HELLO, &nonce]);
    let mut rx = FrameReader::new(sealed_hello).with_limit(MAX_HELLO);
    let answer: Answer = rx.read(stream).await?;
    let direction = |name| sealer.with_context(&[name, &nonce, &answer.nonce]);
    let channel = Channel {
        tx: FrameWriter::new(direction(TO_CLIENT)).with_counter(bytes.clone()),
        rx: rx.with_sealer(direction(TO_SERVER)).with_limit(MAX_FRAME),
    };
    Ok((answer.hello, channel))
}
