//! The handshake of a connection, in which both ends prove that they hold a shared key.
//!
//! The server sends a challenge with a nonce. The client responds with its name and a
//! nonce of its own, under a tag that also covers the server's nonce. The tags of all
//! further frames cover both nonces and the direction of the frame. Recorded frames can
//! therefore be replayed neither to a server nor to a client.

use std::{io, sync::atomic::AtomicU64};

use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use uuid::Uuid;

use super::{message::Hello, Authenticator, FrameReader, FrameWriter, MAX_FRAME_BYTES};

/// Largest frame during the handshake, in bytes.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 512;

/// Context of the tag of the client's response to the challenge.
const HELLO_CONTEXT: &[u8] = b"hello";

/// Contexts of the tags of the frames after the handshake, one for each direction.
const TO_SERVER_CONTEXT: &[u8] = b"to server";
const TO_CLIENT_CONTEXT: &[u8] = b"to client";

/// A random value that is used for one connection only.
type Nonce = [u8; 16];

/// First frame of a connection, sent by the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Challenge {
    nonce: Nonce,
}

/// First frame of the client, which responds to the challenge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ChallengeResponse {
    hello: Hello,
    nonce: Nonce,
}

/// Both directions of a connection after the handshake.
pub struct Channel {
    /// Writes frames to the other end.
    pub tx: FrameWriter,
    /// Reads frames from the other end.
    pub rx: FrameReader,
}

/// Performs the handshake as the client of a connection.
///
/// # Errors
///
/// Fails when the server holds none of the keys or the connection fails.
pub async fn connect<R, W>(
    authenticator: &Authenticator,
    hello: &Hello,
    reader: &mut R,
    writer: &mut W,
    bytes_sent: &Counter<u64, AtomicU64>,
) -> io::Result<Channel>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut rx = FrameReader::new(authenticator.clone()).with_limit(MAX_HANDSHAKE_FRAME_BYTES);
    let challenge: Challenge = rx.read(reader).await?;
    let nonce = Uuid::new_v4().into_bytes();
    let response = ChallengeResponse {
        hello: hello.clone(),
        nonce,
    };
    let hello_authenticator = authenticator.with_context(&[HELLO_CONTEXT, &challenge.nonce]);
    let mut hello_tx = FrameWriter::new(hello_authenticator).with_counter(bytes_sent.clone());
    hello_tx.write(writer, &response).await?;
    let for_direction = |context| authenticator.with_context(&[context, &challenge.nonce, &nonce]);
    Ok(Channel {
        tx: FrameWriter::new(for_direction(TO_SERVER_CONTEXT)).with_counter(bytes_sent.clone()),
        rx: rx
            .with_authenticator(for_direction(TO_CLIENT_CONTEXT))
            .with_limit(MAX_FRAME_BYTES),
    })
}

/// Performs the handshake as the server of a connection, and returns the client's identity.
///
/// # Errors
///
/// Fails when the client holds none of the keys or the connection fails.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    authenticator: &Authenticator,
    stream: &mut S,
    bytes_sent: &Counter<u64, AtomicU64>,
) -> io::Result<(Hello, Channel)> {
    let nonce = Uuid::new_v4().into_bytes();
    let mut challenge_tx = FrameWriter::new(authenticator.clone()).with_counter(bytes_sent.clone());
    challenge_tx.write(stream, &Challenge { nonce }).await?;
    let hello_authenticator = authenticator.with_context(&[HELLO_CONTEXT, &nonce]);
    let mut rx = FrameReader::new(hello_authenticator).with_limit(MAX_HANDSHAKE_FRAME_BYTES);
    let response: ChallengeResponse = rx.read(stream).await?;
    let for_direction = |context| authenticator.with_context(&[context, &nonce, &response.nonce]);
    let channel = Channel {
        tx: FrameWriter::new(for_direction(TO_CLIENT_CONTEXT)).with_counter(bytes_sent.clone()),
        rx: rx
            .with_authenticator(for_direction(TO_SERVER_CONTEXT))
            .with_limit(MAX_FRAME_BYTES),
    };
    Ok((response.hello, channel))
}
