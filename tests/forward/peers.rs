//! Peers that read slowly or not at all, and peers that are gone without closing their connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread::sleep,
    time::{Duration, Instant},
};

use bytes::Bytes;
use ebonyspur::{
    forward::{full_body, open_connection, serve, Body, DrainStage, HttpHandler},
    Clock,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use socket2::{SockFilter, SockRef};
use tokio::sync::watch;

/// Size of a message that fits into no socket buffer.
const LARGE: usize = 16 << 20;

/// Size of a message that fits into the send buffer of a router, but into no receive buffer of a peer
/// that reads slowly.
const SMALL: usize = 256 << 10;

/// Size of the receive buffer of a peer that reads slowly, in bytes.
const SMALL_BUFFER_BYTES: usize = 16 << 10;

/// Time for which a slow peer reads nothing.
const PAUSE: Duration = Duration::from_millis(4_000);

/// Time for which a slow peer reads nothing of a response whose connection is closed.
const PAUSE_AFTER_CLOSE: Duration = Duration::from_secs(8);

/// Time within which a lost peer is noticed on a machine that is busy.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time without data after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Tells a test when it is dropped.
struct DropSignal(mpsc::Sender<()>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        // The test may have ended.
        let _ = self.0.send(());
    }
}

/// Answers `/large` and `/small` with a body of that size, and other requests with parts of `part` bytes without end.
#[derive(Clone)]
struct Handler {
    dropped: mpsc::Sender<()>,
    part: usize,
}

impl HttpHandler for Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/large" {
            return Response::new(full_body(vec![b'x'; LARGE]));
        }
        if req.uri().path() == "/small" {
            return Response::new(full_body(vec![b'x'; SMALL]));
        }
        let (signal, part) = (DropSignal(self.dropped.clone()), self.part);
        let parts = futures_util::stream::unfold(signal, move |signal| async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let bytes = Bytes::from(vec![b'x'; part]);
            Some((Ok(Frame::data(bytes)), signal))
        });
        Response::new(StreamBody::new(parts).boxed_unsync())
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs(60)
    }
}

/// Starts a listener; returns its address and what tells when the body of a stream is dropped.
fn start_listener(part: usize) -> (SocketAddr, mpsc::Receiver<()>) {
    let (dropped, is_dropped) = mpsc::channel();
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        runtime().block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("a listener");
            tx.send(listener.local_addr().expect("an address"))
                .expect("a test");
            let (_stages, stage) = watch::channel(DrainStage::Serving);
            let handler = Handler { dropped, part };
            serve(listener, handler, 4, Clock::new(), stage).await;
        });
    });
    (rx.recv().expect("an address"), is_dropped)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Connects with a small receive buffer and requests `path`.
fn request(address: SocketAddr, path: &str) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("a buffer");
    socket.connect(&address.into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    let head = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a request");
    stream
}

/// Reads the head of a message.
fn skip_head(reader: &mut impl BufRead) {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("a line of the head");
    }
}

/// Makes a socket drop all packets that it receives, as if its host were gone.
fn vanish(stream: &TcpStream) {
    const RETURN: u16 = 0x06;
    let drop_all = SockFilter::new(RETURN, 0, 0, 0);
    SockRef::from(stream)
        .attach_filter(&[drop_all])
        .expect("a filter");
}

#[test]
fn a_caller_that_pauses_within_a_large_response_gets_all_of_it() {
    let (address, _) = start_listener(1);
    let mut reader = BufReader::new(request(address, "/large"));
    skip_head(&mut reader);
    sleep(PAUSE);
    let mut body = Vec::new();
    let read = reader.read_to_end(&mut body).map_err(|err| err.kind());
    assert_eq!((read, body.len()), (Ok(LARGE), LARGE));
}

// The router has closed the connection long before, as it does with its last answers in a stop.
#[test]
fn a_caller_that_pauses_after_the_close_of_its_connection_gets_the_whole_response() {
    let (address, _) = start_listener(1);
    let mut reader = BufReader::new(request(address, "/small"));
    skip_head(&mut reader);
    sleep(PAUSE_AFTER_CLOSE);
    let mut body = Vec::new();
    let read = reader.read_to_end(&mut body).map_err(|err| err.kind());
    assert_eq!((read, body.len()), (Ok(SMALL), SMALL));
}

#[test]
fn a_closed_connection_of_a_caller_whose_host_is_gone_does_not_stay_in_the_kernel() {
    let (address, _) = start_listener(1);
    let stream = request(address, "/small");
    let mut byte = [0];
    (&stream).read_exact(&mut byte).expect("a response");
    vanish(&stream);
    let caller = stream.local_addr().expect("an address").port();
    let is_kept = || {
        let all = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        // The columns are a number, the local address and the remote one, with ports in hexadecimal.
        let ports = format!(":{:04X} 0100007F:{caller:04X} ", address.port());
        all.lines().any(|line| line.contains(&ports))
    };
    assert!(is_kept());
    let started = Instant::now();
    while is_kept() && started.elapsed() < READ_TIMEOUT {
        sleep(Duration::from_millis(100));
    }
    assert!(!is_kept());
}

#[test]
fn a_server_that_pauses_within_a_large_request_gets_all_of_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    SockRef::from(&listener)
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("a buffer");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = BufReader::new(stream.try_clone().expect("a stream"));
        skip_head(&mut head);
        sleep(PAUSE);
        let mut body = vec![0; LARGE];
        let read = head.read_exact(&mut body).map_err(|err| err.kind());
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        read.and_then(|()| stream.write_all(answer).map_err(|err| err.kind()))
    });
    let status = runtime().block_on(async {
        let mut connection = open_connection(address).await.expect("a connection");
        let mut req = Request::new(Full::new(Bytes::from(vec![b'x'; LARGE])));
        req.headers_mut()
            .insert("host", http::HeaderValue::from_static("h"));
        let response = connection.send(req).await;
        response.map(|response| response.status().as_u16())
    });
    assert_eq!(server.join().expect("no panic"), Ok(()));
    assert_eq!(status.expect("a response"), 200);
}

#[test]
fn a_caller_whose_host_is_gone_within_a_stream_is_noticed() {
    let (address, dropped) = start_listener(1);
    let mut stream = request(address, "/stream");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a response");
    vanish(&stream);
    let noticed = dropped.recv_timeout(NOTICE_TIMEOUT);
    assert_eq!(noticed, Ok(()));
}

#[test]
fn a_caller_whose_host_is_gone_while_it_reads_nothing_is_noticed() {
    let (address, dropped) = start_listener(64 << 10);
    let mut stream = request(address, "/stream");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a response");
    sleep(Duration::from_millis(500));
    vanish(&stream);
    let noticed = dropped.recv_timeout(NOTICE_TIMEOUT);
    assert_eq!(noticed, Ok(()));
}

#[test]
fn a_server_whose_host_is_gone_before_a_request_arrives_is_noticed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sent = runtime().block_on(async {
        let mut connection = open_connection(address).await.expect("a connection");
        let (stream, _) = listener.accept().expect("a connection");
        vanish(&stream);
        let mut req = Request::new(Full::new(Bytes::from_static(b"body")));
        req.headers_mut()
            .insert("host", http::HeaderValue::from_static("h"));
        let sent = tokio::time::timeout(NOTICE_TIMEOUT, connection.send(req)).await;
        drop(stream);
        sent
    });
    assert!(matches!(sent, Ok(Err(_))), "{sent:?}");
}

#[test]
fn a_stream_whose_caller_never_reads_is_given_up() {
    let (address, dropped) = start_listener(256 << 10);
    let stream = request(address, "/stream");
    let started = Instant::now();
    let given_up = dropped.recv_timeout(READ_TIMEOUT);
    assert_eq!(given_up, Ok(()), "after {:?}", started.elapsed());
    drop(stream);
}

/// Time for which a caller reads slowly, longer than one may read nothing.
const SLOW_READ_TIME: Duration = Duration::from_secs(16);

/// Time for which a host receives nothing and then goes on.
const OUTAGE: Duration = Duration::from_millis(2_200);

/// Ends what [`vanish`] began.
fn come_back(stream: &TcpStream) {
    SockRef::from(stream).detach_filter().expect("a filter");
}

/// Sends a request to a server whose host receives nothing for a while, at first if `at_first`, or
/// after the request has arrived; returns the status of the answer.
fn status_beside_outage(at_first: bool) -> Option<u16> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (opened, is_opened) = mpsc::channel();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = |stream: &TcpStream| {
            let mut lines = BufReader::new(stream).lines();
            while !lines.next().expect("a line").expect("a line").is_empty() {}
        };
        if at_first {
            vanish(&stream);
            opened.send(()).expect("a test");
            sleep(OUTAGE);
            come_back(&stream);
            read(&stream);
        } else {
            opened.send(()).expect("a test");
            read(&stream);
            sleep(Duration::from_millis(100));
            vanish(&stream);
            sleep(OUTAGE);
            come_back(&stream);
            sleep(Duration::from_millis(2_500));
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        // A failure shows at the other end.
        drop(stream.write_all(answer));
    });
    let status = runtime().block_on(async {
        let mut connection = open_connection(address).await.expect("a connection");
        is_opened.recv().expect("a server");
        let mut req = Request::new(Full::new(Bytes::new()));
        req.headers_mut()
            .insert("host", http::HeaderValue::from_static("h"));
        let response = connection.send(req).await;
        response.ok().map(|response| response.status().as_u16())
    });
    server.join().expect("no panic");
    status
}

#[test]
fn a_server_whose_host_receives_nothing_for_two_seconds_gets_the_request_then() {
    assert_eq!(status_beside_outage(true), Some(200));
}

#[test]
fn a_server_whose_host_receives_nothing_for_two_seconds_after_the_request_answers_it() {
    assert_eq!(status_beside_outage(false), Some(200));
}

#[test]
fn a_caller_whose_host_receives_nothing_for_two_seconds_within_a_stream_gets_the_rest() {
    let (address, dropped) = start_listener(1);
    let mut stream = request(address, "/stream");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("a response");
    vanish(&stream);
    sleep(OUTAGE);
    come_back(&stream);
    assert_eq!(dropped.recv_timeout(Duration::from_secs(4)).ok(), None);
    stream.read_exact(&mut [0; 200]).expect("the rest");
}

#[test]
fn a_caller_that_reads_slowly_but_steadily_gets_all_of_a_large_response() {
    let (address, _) = start_listener(1);
    let mut reader = BufReader::new(request(address, "/large"));
    skip_head(&mut reader);
    let started = Instant::now();
    let mut body = vec![0; 1_600];
    let mut len = 0;
    while started.elapsed() < SLOW_READ_TIME {
        reader.read_exact(&mut body).expect("a part of the body");
        len += body.len();
        sleep(Duration::from_millis(50));
    }
    body.clear();
    let read = reader.read_to_end(&mut body).map_err(|err| err.kind());
    assert_eq!((read.is_ok(), len + body.len()), (true, LARGE));
}
