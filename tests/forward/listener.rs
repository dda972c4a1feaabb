//! A listener with its own handler, and the connections of its callers.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread::{sleep, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use ebonyspur::{
    forward::{full_body, serve, Body, DrainStage, HttpHandler},
    Clock,
};
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::watch;

/// Time without data from the router after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of connections of the listener of a test.
pub const MAX_CONNECTIONS: usize = 40;

pub const MS: fn(u64) -> Duration = Duration::from_millis;

/// Answers `/` at once, `/wait/MS` after a time, `/stream/MS` with a body that takes a time and
/// `/large/MIB` with a large one; `/block/MS` blocks the whole listener.
#[derive(Clone)]
struct Handler {
    idle_limit: Arc<Mutex<Duration>>,
}

impl HttpHandler for Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_string();
        let mut parts = path.split('/').skip(1);
        let kind = parts.next().unwrap_or_default();
        let number = parts
            .next()
            .map_or(0, |text| text.parse().expect("a number"));
        let time = MS(number);
        drop(req.into_body().collect().await);
        match kind {
            "wait" => tokio::time::sleep(time).await,
            "block" => sleep(time),
            "stream" => return Response::new(slow_body(time)),
            "large" => return Response::new(full_body(vec![b'x'; (number as usize) << 20])),
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
pub struct Listener {
    pub address: SocketAddr,
    idle_limit: Arc<Mutex<Duration>>,
    stages: watch::Sender<DrainStage>,
    pub thread: JoinHandle<()>,
}

impl Listener {
    pub fn start(idle_limit: Duration, max_connections: usize) -> Self {
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

    pub fn enter(&self, stage: DrainStage) {
        self.stages.send_replace(stage);
    }

    pub fn set_idle_limit(&self, limit: Duration) {
        *self.idle_limit.lock().expect("a limit") = limit;
    }

    pub fn connect(&self) -> Connection {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        Connection(BufReader::new(stream))
    }
}

/// A caller's connection.
pub struct Connection(pub BufReader<TcpStream>);

impl Connection {
    pub fn send(&mut self, text: &str) {
        // A failure shows when the answer is read.
        drop(self.0.get_mut().write_all(text.as_bytes()));
    }

    pub fn request(&mut self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n"));
    }

    /// Reads an answer; returns its status, or `unanswered`, and whether it announces a close.
    pub fn answer(&mut self) -> String {
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

    pub fn call(&mut self, path: &str) -> String {
        self.request(path);
        self.answer()
    }
}
