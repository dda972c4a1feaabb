//! Servers that answer before they have read a long request, and end their connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::mpsc,
    thread::sleep,
    time::Duration,
};

use bytes::Bytes;
use ebonyspur::forward::open_connection;
use expect_test::expect;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use socket2::SockRef;

/// Size of an upload that fits into no socket buffer.
const LARGE: usize = 16 << 20;

/// Size of an upload that fits into the send buffer of a router, but not into the receive buffer of the
/// server.
const SMALL: usize = 60_000;

/// Size of the receive buffer of the server, in bytes.
const SMALL_BUFFER_BYTES: usize = 8 << 10;

/// Time for which both sides wait for each other.
const PAUSE: Duration = Duration::from_millis(300);

/// How a server ends its connection after part of a response without length or chunks.
#[derive(Debug, Clone, Copy)]
enum Ending {
    /// It has read the whole request.
    AfterRequest,
    /// It sends the end first, and resets the connection later.
    ThenReset,
    /// It resets the connection at once; the router finds the end and the reset together.
    WithReset,
}

/// Ends the connection of `stream` by `ending` after a response without length or chunks.
fn respond(mut stream: TcpStream, ending: Ending, upload: usize, is_read: &mpsc::Receiver<()>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("a line of the head");
    }
    if let Ending::AfterRequest = ending {
        reader.read_exact(&mut vec![0; upload]).expect("an upload");
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
        .expect("a head");
    is_read.recv().expect("a test");
    stream.write_all(b"part").expect("a part");
    stream.shutdown(Shutdown::Write).expect("an end");
    if let Ending::ThenReset = ending {
        sleep(3 * PAUSE);
    }
}

/// Sends an upload to a server that ends its connection by `ending`; describes the body of the response.
fn body_of(ending: Ending, upload: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    SockRef::from(&listener)
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("a buffer");
    let address = listener.local_addr().expect("an address");
    let (head_read, is_head_read) = mpsc::channel();
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        respond(stream, ending, upload, &is_head_read);
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let body = runtime.block_on(async {
        let mut connection = open_connection(address).await.expect("a connection");
        let mut req = Request::new(Full::new(Bytes::from(vec![b'x'; upload])));
        let host = HeaderValue::from_static("h");
        req.headers_mut().insert("host", host);
        let response = connection.send(req).await.expect("a head");
        head_read.send(()).expect("a server");
        if let Ending::WithReset = ending {
            // Nothing is read meanwhile.
            sleep(PAUSE);
        }
        response.into_body().collect().await
    });
    server.join().expect("no panic");
    let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    format!(
        "{ending:?}, {upload} bytes: {:?}",
        body.map_err(|_| "broken off")
    )
}

// A response without length or chunks ends with its connection, which has no proper end before the
// request was read.
#[test]
fn a_response_that_ends_before_its_request_was_read_is_not_complete() {
    let endings = [Ending::AfterRequest, Ending::ThenReset, Ending::WithReset];
    let bodies = endings.map(|ending| [LARGE, SMALL].map(|upload| body_of(ending, upload)));
    expect![[r#"
        AfterRequest, 16777216 bytes: Ok("part")
        AfterRequest, 60000 bytes: Ok("part")
        ThenReset, 16777216 bytes: Err("broken off")
        ThenReset, 60000 bytes: Err("broken off")
        WithReset, 16777216 bytes: Err("broken off")
        WithReset, 60000 bytes: Err("broken off")"#]]
    .assert_eq(&bodies.concat().join("\n"));
}
