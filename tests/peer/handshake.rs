//! Connections between routers, over pipes in memory.

use std::io::ErrorKind;

use ebonyspur::{
    config::Secret,
    peer::{accept, connect, Authenticator, Channel, FrameReader, FrameWriter, Hello, Purpose},
    Incarnation, RouterName,
};
use prometheus_client::metrics::counter::Counter;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

const ROOM: usize = 64 * 1024;

pub fn sealer(keys: &[&str]) -> Authenticator {
    let keys: Vec<_> = keys.iter().map(|key| Secret::new(*key)).collect();
    Authenticator::new(&keys, Purpose::Frame)
}

pub fn hello() -> Hello {
    Hello {
        router: RouterName::new("router-1").expect("a valid name"),
        incarnation: Incarnation(7),
    }
}

async fn open(client: &Authenticator, server: &Authenticator) -> (std::io::Result<Channel>, bool) {
    let (near, mut far) = duplex(ROOM);
    let counter = Counter::default();
    // As with sockets, an end that gives up closes the connection.
    let serving = async {
        let accepted = accept(server, &mut far, &counter).await;
        drop(far);
        accepted.is_ok_and(|(who, _)| who == hello())
    };
    let opening = async {
        let (mut reader, mut writer) = tokio::io::split(near);
        connect(client, &hello(), &mut reader, &mut writer, &counter).await
    };
    tokio::join!(opening, serving)
}

#[tokio::test]
async fn both_ends_need_a_common_key_also_during_a_change_of_key() {
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
        let (channel, accepted) = open(&sealer(&client), &sealer(&server)).await;
        opened.push(channel.is_ok() && accepted);
    }
    assert_eq!(opened, [true, true, true, true, false]);
}

/// Passes what `from` sends on to `to`, and returns a copy of it.
async fn record(from: &mut DuplexStream, to: &mut DuplexStream) -> Vec<u8> {
    let mut buf = vec![0; ROOM];
    let len = from.read(&mut buf).await.expect("bytes");
    buf.truncate(len);
    to.write_all(&buf).await.expect("room");
    buf
}

#[tokio::test]
async fn a_recorded_hello_opens_no_second_connection() {
    let sealer = sealer(&["key-of-the-fleet-"]);
    let counter = Counter::default();
    let (mut client, mut client_wire) = duplex(ROOM);
    let (mut server, mut server_wire) = duplex(ROOM);
    let recording = async {
        record(&mut server_wire, &mut client_wire).await;
        record(&mut client_wire, &mut server_wire).await
    };
    let (mut reader, mut writer) = tokio::io::split(&mut client);
    let hello = hello();
    let opening = connect(&sealer, &hello, &mut reader, &mut writer, &counter);
    let accepting = accept(&sealer, &mut server, &counter);
    let (opened, accepted, recorded) = tokio::join!(opening, accepting, recording);
    assert!(opened.is_ok() && accepted.is_ok());

    let (mut second, mut attacker) = duplex(ROOM);
    attacker.write_all(&recorded).await.expect("room");
    let accepted = accept(&sealer, &mut second, &counter).await;
    let refused = accepted.err().map(|err| err.kind());
    assert_eq!(refused, Some(ErrorKind::InvalidData));
}

/// Returns the bytes of `count` frames that carry their own numbers.
async fn frames(sealer: &Authenticator, count: u32) -> Vec<Vec<u8>> {
    let mut writer = FrameWriter::new(sealer.clone());
    let mut frames = Vec::new();
    for number in 0..count {
        let mut frame = Vec::new();
        writer.write(&mut frame, &number).await.expect("a frame");
        frames.push(frame);
    }
    frames
}

async fn read_all(sealer: &Authenticator, frames: &[&Vec<u8>]) -> Vec<u32> {
    let bytes: Vec<u8> = frames
        .iter()
        .flat_map(|frame| frame.iter().copied())
        .collect();
    let mut reader = FrameReader::new(sealer.clone());
    let mut rx = bytes.as_slice();
    let mut read = Vec::new();
    while let Ok(number) = reader.read(&mut rx).await {
        read.push(number);
    }
    read
}

#[tokio::test]
async fn a_frame_counts_once_and_only_in_its_place() {
    let sealer = sealer(&["key-of-the-fleet-"]);
    let sent = frames(&sealer, 3).await;
    let [a, b, c] = [&sent[0], &sent[1], &sent[2]];
    assert_eq!(read_all(&sealer, &[a, b, c]).await, [0, 1, 2]);
    assert_eq!(read_all(&sealer, &[a, a, b]).await, [0]);
    assert_eq!(read_all(&sealer, &[a, c, b]).await, [0]);
    let other = sealer.with_context(&[b"other connection"]);
    assert!(read_all(&other, &[a, b, c]).await.is_empty());
}
