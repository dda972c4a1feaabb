//! Connections to backend servers are reused only after a complete answer.
//!
//! On a connection with an unfinished answer, the rest of that answer would be taken for the
//! answer to the next request.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

use expect_test::expect;
use serde_json::json;

use crate::{
    raw_http::{header, read_request, reply},
    support::{
        self, free_address,
        http::{exchange, send, Answer},
        wait_until, Fleet,
    },
};

/// Delay of the server before a late answer, longer than the router's progress timeout.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_000);

/// Requests and connection ends that a server observed.
#[derive(Debug, Default)]
struct Observations {
    /// Request ids, each with the number of the connection on which the request arrived.
    requests: Vec<(String, usize)>,
    /// Connections that the router closed while an answer was unfinished.
    closed: Vec<usize>,
    /// Connections that this server closed while they were idle, and the router after that.
    dropped: Vec<usize>,
}

impl Observations {
    fn connection(&self, id: &str) -> Option<usize> {
        let mut requests = self.requests.iter().rev();
        requests
            .find(|(seen, _)| seen == id)
            .map(|(_, connection)| *connection)
    }
}

/// A server whose answers depend on a keyword in the path or the prompt of the request.
#[derive(Clone, Default)]
struct Server(Arc<Mutex<Observations>>);

impl Server {
    /// Starts a server and puts it on the instance list, as a server of `pool`.
    fn start(fleet: &Fleet, kind: &str, pool: &str) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a listener");
        let server = Server::default();
        let accepting = server.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = accepting.clone();
                std::thread::spawn(move || server.serve_connection(connection, stream));
            }
        });
        let instance = json!({
            "kind": kind, "pool": pool, "address": address,
            "failure_domain": "d9", "state": "live", "incarnation": 1,
        });
        let url = fleet.platform_url(&format!("/v1/instances/{kind}-9"));
        support::call("PUT", &url, &instance).expect("an instance");
        server
    }

    fn with_observations<T>(&self, access: impl FnOnce(&mut Observations) -> T) -> T {
        access(&mut self.0.lock().expect("the observations"))
    }

    fn serve_connection(&self, connection: usize, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            if request.starts_with("GET /load") {
                reply(&mut stream, 200, "{\"in_flight\":0}");
                continue;
            }
            let id = header(&request, "x-request-id");
            let lines = (request.lines().next(), request.lines().last());
            let asked = format!("{lines:?}");
            self.with_observations(|seen| seen.requests.push((id.clone(), connection)));
            if asked.contains("slow") {
                self.begin_answer(
                    connection,
                    &mut stream,
                    "content-length: 4\r\n\r\n",
                    LATE_ANSWER_DELAY,
                );
                let _ = stream.write_all(b"late");
            } else if asked.contains("half") {
                let head = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
                let event = format!("id: 0\ndata: {{\"id\":\"chatcmpl-{id}\"}}\n\n");
                let part = format!("{head}{:x}\r\n{event}\r\n", event.len());
                self.begin_answer(connection, &mut stream, &part, support::WAIT_TIMEOUT);
            } else if asked.contains("refuse") {
                let head = "HTTP/1.1 503 Busy\r\ncontent-length: 1000\r\n\r\nbusy";
                let _ = stream.write_all(head.as_bytes());
                self.await_close(connection, &mut stream, support::WAIT_TIMEOUT);
            } else {
                reply(&mut stream, 200, &format!("own {id}"));
            }
            if asked.contains("last") {
                let _ = stream.shutdown(Shutdown::Write);
                // The router closes its side when it notices.
                if read_request(&mut stream).is_none() {
                    self.with_observations(|seen| seen.dropped.push(connection));
                }
                return;
            }
        }
    }

    /// Sends the beginning of an answer, and waits up to `time` for the router to close the
    /// connection.
    fn begin_answer(&self, connection: usize, stream: &mut TcpStream, part: &str, time: Duration) {
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{part}").as_bytes());
        self.await_close(connection, stream, time);
    }

    fn await_close(&self, connection: usize, stream: &mut TcpStream, time: Duration) {
        stream.set_read_timeout(Some(time)).expect("a timeout");
        match stream.peek(&mut [0]) {
            // Bytes here are a request on a connection whose answer is unfinished.
            Ok(1..) => {}
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => self.with_observations(|seen| seen.closed.push(connection)),
        }
        stream.set_read_timeout(None).expect("no timeout");
    }
}

/// Starts one router in front of one server.
fn start(kind: &str, pool: &str) -> (Fleet, Server) {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    let server = Server::start(&fleet, kind, pool);
    fleet.add_router("limits: {progress_ms: 500}\n");
    wait_until("the router knows the server", || {
        support::dump(&fleet.routers[0]).is_some_and(|state| {
            state["phase"] == "serving" && state["engines"].as_array().is_some_and(|e| e.len() == 1)
        })
    });
    (fleet, server)
}

fn get(router: SocketAddr, id: &str, path: &str) -> Answer {
    let headers = [("ebonyspur-team", "kerb"), ("x-request-id", id)];
    let path = format!("/v1/services/trade/{path}");
    exchange(router, "GET", &path, &headers, "")
}

fn chat(router: SocketAddr, id: &str, prompt: &str) -> Option<TcpStream> {
    let headers = [("ebonyspur-team", "kerb"), ("x-request-id", id)];
    let body = json!({
        "model": "planner", "stream": true, "messages": [{ "role": "user", "content": prompt }],
    });
    let path = "/v1/chat/completions";
    send(router, "POST", path, &headers, &body.to_string())
}

/// Waits until the connection of request `first` is closed; formats whether request `next`
/// arrived on another one.
fn check_not_reused(server: &Server, first: &str, next: &str) -> String {
    let connection = server
        .with_observations(|seen| seen.connection(first))
        .expect("a request");
    wait_until("the connection is closed", || {
        server.with_observations(|seen| seen.closed.contains(&connection))
    });
    let next = server.with_observations(|seen| seen.connection(next));
    format!(
        "{first}: closed, next on another {}\n",
        next.is_some_and(|next| next != connection)
    )
}

#[test]
fn a_connection_with_an_unfinished_answer_is_not_reused() {
    let (fleet, server) = start("server", "trades");
    let router = fleet.routers[0].callers;
    let mut table = String::new();
    for id in ["slow", "refuse"] {
        // Leaves an idle connection in the router's pool, which the next call may reuse.
        assert_eq!(get(router, "before", "quick").status, 200);
        let broken = get(router, id, id);
        let after = format!("after-{id}");
        let own = get(router, &after, "quick").body;
        let verdict = broken.verdict();
        table += &format!("{} {verdict} then {own}; ", broken.status);
        table += &check_not_reused(&server, id, &after);
    }
    expect![[r#"
        504 may-have-run then own after-slow; slow: closed, next on another true
        504 may-have-run then own after-refuse; refuse: closed, next on another true
    "#]]
    .assert_eq(&table);
}

#[test]
fn a_chat_whose_caller_disconnects_is_cancelled_at_the_engine() {
    let (fleet, server) = start("engine", "planners");
    let router = fleet.routers[0].callers;
    let mut table = String::new();
    for (id, prompt) in [("half-1", "half"), ("refuse-1", "refuse")] {
        let mut caller = chat(router, id, prompt).expect("a connection");
        let _ = caller.read(&mut [0; 64]);
        drop(caller);
        wait_until("the engine has the chat", || {
            server
                .with_observations(|seen| seen.connection(id))
                .is_some()
        });
        let after = format!("after-{id}");
        let next = chat(router, &after, "quick");
        let _ = next.expect("a connection").read(&mut [0; 64]);
        table += &check_not_reused(&server, id, &after);
    }
    expect![[r#"
        half-1: closed, next on another true
        refuse-1: closed, next on another true
    "#]]
    .assert_eq(&table);
}

#[test]
fn an_idle_connection_is_reused_unless_it_was_closed() {
    let (fleet, server) = start("server", "trades");
    let router = fleet.routers[0].callers;
    let mut number = 0;
    let mut call = |path: &str| {
        number += 1;
        let id = format!("call-{number}");
        let own = get(router, &id, path).body == format!("own {id}");
        (own, server.with_observations(|seen| seen.connection(&id)))
    };
    // A pause of the machine may be longer than the idle timeout of the pool, so try several
    // times.
    let reused = (0..20).any(|_| call("quick") == call("quick"));
    let mut after_close = Vec::new();
    for _ in 0..3 {
        let (_, last) = call("last");
        wait_until("the connection is gone", || {
            server.with_observations(|seen| last.is_some_and(|last| seen.dropped.contains(&last)))
        });
        let (own, next) = call("quick");
        after_close.push(own && next != last);
    }
    expect!["used again: true, own answer on another after it is gone: [true, true, true]"]
        .assert_eq(&format!(
            "used again: {reused}, own answer on another after it is gone: {after_close:?}"
        ));
}
