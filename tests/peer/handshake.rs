//! The handshake and the authenticated frames of peer connections, over in-memory pipes.

use std::io::ErrorKind;

use ebonyspur::{
    config::Secret,
    peer::{accept, connect, Authenticator, Channel, FrameReader, FrameWriter, Hello, Purpose},
    Incarnation, RouterName,
};
use prometheus_client::metrics::counter::Counter;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

const PIPE_BYTES: usize = 64 * 1024;

pub fn authenticator(keys: &[&str]) -> Authenticator {
    let keys: Vec<_> = keys.iter().map(|key| Secret::new(*key)).collect();
    Authenticator::new(&keys, Purpose::Frame)
}

pub fn hello() -> Hello {
    Hello {
        router: RouterName::new("router-1").expect("a valid name"),
        incarnation: Incarnation(7),
    }
}

/// Performs a handshake; returns the client's result and whether the server accepted the client.
async fn handshake(
    client: &Authenticator,
    server: &Authenticator,
) -> (std::io::Result<Channel>, bool) {
    let (near, mut far) = duplex(PIPE_BYTES);
    let counter = Counter::default();
    // As with sockets, an end whose handshake fails closes the connection.
    let server_side = async {
        let accepted = accept(server, &mut far, &counter).await;
        drop(far);
        accepted.is_ok_and(|(hello_received, _)| hello_received == hello())
    };
    let client_side = async {
        let (mut reader, mut writer) = tokio::io::split(near);
        connect(client, &hello(), &mut reader, &mut writer, &counter).await
    };
    tokio::join!(client_side, server_side)
}

#[tokio::test]
async fn a_handshake_needs_a_common_key_also_during_key_rotation() {
    let (old, new) = ("key-of-yesterday-", "key-of-tomorrow--");
    let ends = [
        (vec![old], vec![old]),
        (vec![old], vec![old, new]),
        (vec![old, new], vec![new, old]),
        (vec![new, old], vec![new, old]),
        (vec![old], vec![new]),
    ];
    let mut opened = Vec::new();
    for (client, server) in ends {
        let (channel, accepted) = handshake(&authenticator(&client), &authenticator(&server)).await;
        opened.push(channel.is_ok() && accepted);
    }
    assert_eq!(opened, [true, true, true, true, false]);
}

/// Forwards one read from `from` to `to`, and returns the forwarded bytes.
async fn forward_and_record(from: &mut DuplexStream, to: &mut DuplexStream) -> Vec<u8> {
    let mut buf = vec![0; PIPE_BYTES];
    let len = from.read(&mut buf).await.expect("bytes");
    buf.truncate(len);
    to.write_all(&buf).await.expect("space in the pipe");
    buf
}

#[tokio::test]
async fn a_replayed_hello_fails_the_handshake() {
    let authenticator = authenticator(&["key-of-the-fleet-"]);
    let counter = Counter::default();
    let (mut client, mut client_wire) = duplex(PIPE_BYTES);
    let (mut server, mut server_wire) = duplex(PIPE_BYTES);
    let recording = async {
        forward_and_record(&mut server_wire, &mut client_wire).await;
        forward_and_record(&mut client_wire, &mut server_wire).await
    };
    let (mut reader, mut writer) = tokio::io::split(&mut client);
    let hello = hello();
    let client_side = connect(&authenticator, &hello, &mut reader, &mut writer, &counter);
    let server_side = accept(&authenticator, &mut server, &counter);
    let (opened, accepted, recorded) = tokio::join!(client_side, server_side, recording);
    assert!(opened.is_ok() && accepted.is_ok());

    let (mut second, mut attacker) = duplex(PIPE_BYTES);
    attacker
        .write_all(&recorded)
        .await
        .expect("space in the pipe");
    let accepted = accept(&authenticator, &mut second, &counter).await;
    let refused = accepted.err().map(|err| err.kind());
    assert_eq!(refused, Some(ErrorKind::InvalidData));
}

/// Returns the bytes of `count` frames, each with its sequence number as the payload.
async fn frames(authenticator: &Authenticator, count: u32) -> Vec<Vec<u8>> {
    let mut writer = FrameWriter::new(authenticator.clone());
    let mut frames = Vec::new();
    for number in 0..count {
        let mut frame = Vec::new();
        writer.write(&mut frame, &number).await.expect("a frame");
        frames.push(frame);
    }
    frames
}

/// Reads frames until one fails, and returns their payloads.
async fn read_all(authenticator: &Authenticator, frames: &[&Vec<u8>]) -> Vec<u32> {
    let bytes: Vec<u8> = frames
        .iter()
        .flat_map(|frame| frame.iter().copied())
        .collect();
    let mut reader = FrameReader::new(authenticator.clone());
    let mut rx = bytes.as_slice();
    let mut read = Vec::new();
    while let Ok(number) = reader.read(&mut rx).await {
        read.push(number);
    }
    read
}

#[tokio::test]
async fn a_frame_is_accepted_once_and_only_in_order() {
    let authenticator = authenticator(&["key-of-the-fleet-"]);
    let sent = frames(&authenticator, 3).await;
    let [a, b, c] = [&sent[0], &sent[1], &sent[2]];
    assert_eq!(read_all(&authenticator, &[a, b, c]).await, [0, 1, 2]);
    assert_eq!(read_all(&authenticator, &[a, a, b]).await, [0]);
    assert_eq!(read_all(&authenticator, &[a, c, b]).await, [0]);
    let other = authenticator.with_context(&[b"other connection"]);
    assert!(read_all(&other, &[a, b, c]).await.is_empty());
}
