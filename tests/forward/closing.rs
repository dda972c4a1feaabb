//! Closing of callers' connections: none of them may be closed over a request.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{sleep, JoinHandle},
    time::{Duration, Instant},
};

use bytes::Bytes;
use ebonyspur::{
    forward::{full_body, serve, Body, DrainStage, HttpHandler},
    Clock,
};
use expect_test::expect;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::watch;

/// Time without data from the router after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of connections of the listener of a test.
const MAX_CONNECTIONS: usize = 40;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Answers `/` at once, `/wait/MS` after a time and `/stream/MS` with a body that takes a time;
/// `/block/MS` blocks the whole listener.
#[derive(Clone)]
struct Handler {
    idle_limit: Arc<Mutex<Duration>>,
}

impl HttpHandler for Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_string();
        let mut parts = path.split('/').skip(1);
        let kind = parts.next().unwrap_or_default();
        let time = MS(parts.next().map_or(0, |ms| ms.parse().expect("a number")));
        drop(req.into_body().collect().await);
        match kind {
            "wait" => tokio::time::sleep(time).await,
            "block" => sleep(time),
            "stream" => return Response::new(slow_body(time)),
            _ => {}
        }
        Response::new(full_body("ok"))
    }

    fn idle_limit(&self) -> Duration {
        *self.idle_limit.lock().expect("a limit")
    }
}

/// Returns a body of two parts with `time` between them.
fn slow_body(time: Duration) -> Body {
    let parts = futures_util::stream::unfold(0, move |number| async move {
        if number == 1 {
            tokio::time::sleep(time).await;
        }
        let part = Ok(Frame::data(Bytes::from_static(b"part")));
        (number < 2).then_some((part, number + 1))
    });
    StreamBody::new(parts).boxed_unsync()
}

/// A listener in a thread of its own.
struct Listener {
    address: SocketAddr,
    idle_limit: Arc<Mutex<Duration>>,
    stages: watch::Sender<DrainStage>,
    thread: JoinHandle<()>,
}

impl Listener {
    fn start(idle_limit: Duration, max_connections: usize) -> Self {
        let idle_limit = Arc::new(Mutex::new(idle_limit));
        let handler = Handler {
            idle_limit: idle_limit.clone(),
        };
        let (stages, stage) = watch::channel(DrainStage::Serving);
        let (tx, rx) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
                let listener = listener.expect("a listener");
                tx.send(listener.local_addr().expect("an address"))
                    .expect("a test");
                serve(listener, handler, max_connections, Clock::new(), stage).await;
            });
        });
        Listener {
            address: rx.recv().expect("an address"),
            idle_limit,
            stages,
            thread,
        }
    }

    fn close(&self) {
        self.stages.send_replace(DrainStage::Closing);
    }

    fn set_idle_limit(&self, limit: Duration) {
        *self.idle_limit.lock().expect("a limit") = limit;
    }

    fn connect(&self) -> Connection {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        Connection(BufReader::new(stream))
    }
}

/// A caller's connection.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn send(&mut self, text: &str) {
        // A failure shows when the answer is read.
        drop(self.0.get_mut().write_all(text.as_bytes()));
    }

    fn request(&mut self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n"));
    }

    /// Reads an answer; returns its status, or `unanswered`, and whether it announces a close.
    fn answer(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.0.read_line(&mut head).unwrap_or_default() == 0 {
                return "unanswered".into();
            }
        }
        let head = head.to_ascii_lowercase();
        if head.contains("transfer-encoding: chunked") {
            let mut body = String::new();
            while !body.ends_with("0\r\n\r\n") {
                if self.0.read_line(&mut body).unwrap_or_default() == 0 {
                    return "cut".into();
                }
            }
        } else {
            let mut body = [0; 2];
            if self.0.read_exact(&mut body).is_err() {
                return "cut".into();
            }
        }
        let status = head.split(' ').nth(1).unwrap_or_default();
        let close = head.contains("connection: close");
        format!("{status}{}", if close { " close" } else { "" })
    }

    fn call(&mut self, path: &str) -> String {
        self.request(path);
        self.answer()
    }
}

#[test]
fn request_after_a_long_stream_is_not_lost() {
    let listener = Listener::start(MS(500), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/stream/3500"), "200");
    sleep(MS(100));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn request_within_a_lengthened_idle_limit_is_not_lost() {
    let listener = Listener::start(MS(100), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    listener.set_idle_limit(MS(10_000));
    sleep(MS(3_000));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn request_within_the_idle_limit_of_the_last_response_is_not_lost() {
    let listener = Listener::start(MS(4_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    sleep(MS(3_000));
    assert_eq!(caller.call("/wait/2500"), "200");
    listener.set_idle_limit(Duration::ZERO);
    sleep(MS(3_200));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn callers_are_told_for_how_long_they_may_use_a_connection_again() {
    let listener = Listener::start(MS(15_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    caller.request("/");
    let head = caller.0.by_ref().lines().map_while(Result::ok);
    let head = head.take_while(|line| !line.is_empty());
    let is_kept = |line: &String| line.starts_with("connection") || line.starts_with("keep-alive");
    let lines: Vec<_> = head.filter(is_kept).collect();
    expect![[r#"
        connection: keep-alive
        keep-alive: timeout=15"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn request_within_the_idle_limit_that_was_announced_is_not_lost() {
    let listener = Listener::start(MS(4_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    sleep(MS(3_000));
    caller.request("/stream/2000");
    sleep(MS(300));
    listener.set_idle_limit(Duration::ZERO);
    assert_eq!(caller.answer(), "200");
    sleep(MS(3_200));
    assert_eq!(caller.call("/"), "200");
}

#[test]
fn idle_connections_are_closed_after_the_limit_of_their_last_response() {
    let listener = Listener::start(MS(500), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    let started = Instant::now();
    assert_eq!(caller.answer(), "unanswered");
    assert!(started.elapsed() >= MS(500), "{:?}", started.elapsed());
    assert!(started.elapsed() < MS(8_000), "{:?}", started.elapsed());
}

#[test]
fn request_whose_head_arrives_over_the_end_of_the_idle_limit_is_not_lost() {
    let listener = Listener::start(Duration::ZERO, MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    sleep(MS(1_300));
    caller.send("GET / HTTP/1.1\r\nho");
    sleep(MS(1_500));
    caller.send("st: h\r\n\r\n");
    assert_eq!(caller.answer(), "200");
}

#[test]
fn requests_that_wait_in_the_socket_at_the_end_of_the_idle_limit_are_not_lost() {
    let listener = Listener::start(Duration::ZERO, MAX_CONNECTIONS);
    let mut callers: Vec<_> = (0..20).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        assert_eq!(caller.call("/"), "200");
    }
    sleep(MS(1_000));
    let mut blocker = listener.connect();
    blocker.request("/block/2000");
    sleep(MS(500));
    for caller in &mut callers {
        caller.request("/");
    }
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200"; 20]);
}

#[test]
fn request_whose_head_arrives_as_the_listener_closes_is_not_lost() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    caller.send("GET / HTTP/1.1\r\nho");
    sleep(MS(200));
    listener.close();
    sleep(MS(500));
    caller.send("st: h\r\n\r\n");
    assert_eq!(caller.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn idle_connections_and_the_listener_end_when_it_closes() {
    let listener = Listener::start(MS(60_000), MAX_CONNECTIONS);
    let mut caller = listener.connect();
    assert_eq!(caller.call("/"), "200");
    let mut streaming = listener.connect();
    streaming.request("/stream/1000");
    sleep(MS(300));
    listener.close();
    let started = Instant::now();
    assert_eq!(caller.answer(), "unanswered");
    assert_eq!(streaming.answer(), "200");
    listener.thread.join().expect("the listener ends");
    assert!(started.elapsed() < MS(8_000), "{:?}", started.elapsed());
}

#[test]
fn requests_that_the_kernel_has_accepted_are_not_lost_when_the_listener_closes() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut blocker = listener.connect();
    blocker.request("/block/1000");
    sleep(MS(300));
    let mut callers: Vec<_> = (0..20).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        caller.request("/");
    }
    listener.close();
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 20]);
    listener.thread.join().expect("the listener ends");
}

#[test]
fn requests_that_wait_for_a_free_connection_are_not_lost_when_the_listener_closes() {
    let listener = Listener::start(MS(10_000), 1);
    let mut first = listener.connect();
    first.request("/wait/1000");
    sleep(MS(300));
    let mut callers: Vec<_> = (0..3).map(|_| listener.connect()).collect();
    for caller in &mut callers {
        caller.request("/");
    }
    listener.close();
    let answers: Vec<_> = callers.iter_mut().map(Connection::answer).collect();
    assert_eq!(answers, vec!["200 close"; 3]);
    listener.thread.join().expect("the listener ends");
}

#[test]
fn connections_are_accepted_while_requests_of_a_closing_listener_run() {
    let listener = Listener::start(MS(10_000), MAX_CONNECTIONS);
    let mut first = listener.connect();
    first.request("/wait/2000");
    sleep(MS(300));
    listener.close();
    sleep(MS(300));
    let mut late = listener.connect();
    sleep(MS(200));
    assert_eq!(late.call("/"), "200 close");
    assert_eq!(first.answer(), "200 close");
    listener.thread.join().expect("the listener ends");
}

#[test]
fn connection_with_half_of_its_first_head_does_not_stay_open_forever() {
    let listener = Listener::start(MS(100), MAX_CONNECTIONS);
    let mut connection = listener.connect();
    connection.send("GET / HT");
    let read = connection.0.read(&mut [0; 64]);
    assert!(matches!(read, Ok(0)), "still open: {read:?}");
}
