//! Panics while a request is handled.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use ebonyspur::{
    admission::RetryAllowance,
    catalog::{LoadReport, Server},
    feed::{Feed, Position, StoreEra},
    forward::{
        text_response, Body, DrainStage, ForwardParams, Forwarder, HttpHandler, Policy,
        RequestHead, ResponseHead, RunOutcome, Wire,
    },
    placement::LoadBound,
    presence::Presence,
    routes::{Route, RouteKind, TableBuilder, Target},
    Clock, DomainName, EngineName, Error, Incarnation, Offset, PoolName, RequestId, Result,
    RouterName, Verdict,
};
use expect_test::expect;
use http::{request, HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;

/// Time without data from the router after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A dialect that panics in the step that a header names.
struct PanickingWire;

fn panic_if(step: &str, headers: &HeaderMap) {
    assert!(
        headers.get("panic").is_none_or(|at| at != step),
        "at {step}"
    );
}

impl Wire for PanickingWire {
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead> {
        panic_if("request-head", &head.headers);
        Ok(RequestHead::default())
    }

    fn request_headers(&self, from_caller: &HeaderMap, _: &ForwardParams<'_>) -> HeaderMap {
        panic_if("request", from_caller);
        from_caller.clone()
    }

    fn parse_response_head(
        &self,
        _: StatusCode,
        headers: &HeaderMap,
        _: Option<&RequestId>,
    ) -> ResponseHead {
        panic_if("response-head", headers);
        ResponseHead {
            outcome: RunOutcome::Ran,
            names_attempt: true,
            keep_alive: None,
            limit: None,
            is_leaving: false,
            retry_after: None,
            load: LoadReport::Absent,
        }
    }

    fn response_headers(&self, from_server: HeaderMap) -> HeaderMap {
        panic_if("response", &from_server);
        HeaderMap::new()
    }

    fn error_response(&self, err: &Error, _: Option<&RequestId>) -> Response<Body> {
        let status = match err.verdict() {
            Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        text_response(status, "text/plain", err.verdict().as_str())
    }
}

#[derive(Clone)]
struct Handler(Arc<Forwarder<PanickingWire>>);

impl HttpHandler for Handler {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        self.0.clone().serve(req).await
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_secs(60)
    }
}

/// Starts a server that echoes the header by which a request asks for a panic.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(std::result::Result::ok) {
            let reader = BufReader::new(stream.try_clone().expect("a stream"));
            let lines = reader.lines().map_while(std::result::Result::ok);
            let lines: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
            let asked = lines.iter().find(|line| line.starts_with("panic:"));
            let asked = asked.map_or(String::new(), |line| format!("{line}\r\n"));
            let response = format!("HTTP/1.1 200 OK\r\n{asked}content-length: 2\r\n\r\nok");
            // The router closes the connection if it panics.
            drop(stream.write_all(response.as_bytes()));
        }
    });
    address
}

/// Starts a router with one route to a server at `server`; returns its address.
fn start_router(server: SocketAddr) -> SocketAddr {
    let clock = Clock::new();
    let name = RouterName::new("r1").expect("a name");
    let pool = PoolName::new("trades").expect("a name");
    let feed = Arc::new(Feed::new(&name, 10));
    let mut table = TableBuilder::new(1);
    table.add_route(Route {
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::AtMostOnce,
        timeout: None,
        response_time_goal: Duration::from_millis(200),
        priority: 1,
        targets: [Target {
            pool: pool.clone(),
            weight: 1,
        }]
        .into(),
        max_attempts: 1,
        anonymous: true,
        sticky: false,
    });
    feed.replace_routes_if_newer(table.build().expect("a table"), "test");
    let server = Server {
        name: EngineName::new("s-1").expect("a name"),
        pool,
        address: server,
        domain: DomainName::new("d1").expect("a name"),
        incarnation: Incarnation(1),
        slots: 6,
        leaving: false,
    };
    feed.replace_servers(
        vec![server],
        Position::new(StoreEra(0), Offset(1)),
        clock.now(),
    );
    let presence = Arc::new(Presence::new(name, ([127, 0, 0, 1], 1).into()));
    let policy = Policy {
        retries: RetryAllowance {
            ratio: 0.1,
            extra: 10.0,
            window: Duration::from_secs(10),
        },
        load_bound: LoadBound {
            factor: 2.0,
            extra: 3.0,
        },
        grace: Duration::from_secs(8),
        warm_up: None,
    };
    let cx = Arc::new(Forwarder::new(
        PanickingWire,
        feed,
        presence,
        clock,
        policy,
        7,
    ));
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().expect("a runtime");
        runtime.block_on(async {
            listener.set_nonblocking(true).expect("a socket");
            let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
            let (_stage, until) = watch::channel(DrainStage::Serving);
            ebonyspur::forward::serve(listener, Handler(cx), 8, clock, until).await;
        });
    });
    address
}

/// Sends a request that asks for a panic at `step`; returns the status and body of the answer.
fn call(stream: &mut TcpStream, step: &str) -> String {
    let request = format!("GET / HTTP/1.1\r\nhost: h\r\npanic: {step}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("an open stream");
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return "closed without an answer".to_string(),
            Err(err) => return format!("broken: {err}"),
            Ok(_) if line.trim().is_empty() => break,
            Ok(_) => lines.push(line.trim().to_ascii_lowercase()),
        }
    }
    let len = lines
        .iter()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; len.map_or(0, |len| len.parse().expect("a length"))];
    reader.read_exact(&mut body).expect("a body");
    format!("{} {}", lines[0], String::from_utf8_lossy(&body))
}

#[test]
fn request_whose_handling_panics_gets_an_answer_that_says_whether_it_may_have_run() {
    let router = start_router(start_server());
    let steps = [
        "request-head",
        "request",
        "response-head",
        "response",
        "none",
    ];
    let mut lines = Vec::new();
    for step in steps {
        let mut stream = TcpStream::connect(router).expect("a router");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a stream");
        lines.push(format!("{step}: {}", call(&mut stream, step)));
    }
    expect![[r#"
        request-head: http/1.1 503 service unavailable not-run
        request: http/1.1 503 service unavailable not-run
        response-head: http/1.1 502 bad gateway may-have-run
        response: http/1.1 502 bad gateway may-have-run
        none: http/1.1 200 ok ok"#]]
    .assert_eq(&lines.join("\n"));
}
