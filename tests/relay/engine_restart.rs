//! Poison requests on engines that are restarted at once.
//!
//! Such an engine accepts connections again before the router looks at it, so that its crash
//! shows only by the new incarnation in its load report or on the instance list.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use expect_test::expect;
use serde_json::{json, Value};

use crate::{
    raw_http::{header, read_request, reply},
    support::{self, free_address, http::exchange, wait_until, Fleet},
};

/// Number of engines in the fleet.
const ENGINES: u64 = 3;

/// Number of times that each request is sent.
const SENDS: u64 = 6;

/// Time from a crash until the new incarnation is on the instance list.
const LISTED_AFTER: Duration = Duration::from_millis(400);

/// An engine whose socket stays open when it crashes; each crash begins a new incarnation.
#[derive(Clone)]
struct Engine {
    url: String,
    address: SocketAddr,
    incarnation: Arc<AtomicU64>,
    /// Whether the load report contains the incarnation.
    reports_incarnation: bool,
}

impl Engine {
    fn start(fleet: &Fleet, number: u64, reports_incarnation: bool) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a listener");
        let engine = Engine {
            url: fleet.platform_url(&format!("/v1/instances/engine-{number}")),
            address,
            incarnation: Arc::new(AtomicU64::new(1)),
            reports_incarnation,
        };
        engine.register();
        let accepting = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                std::thread::spawn(move || engine.serve_connection(stream));
            }
        });
        engine
    }

    fn register(&self) {
        let instance = json!({
            "kind": "engine", "pool": "planners", "address": self.address,
            "failure_domain": "d9", "state": "live", "incarnation": self.current_incarnation(),
        });
        support::call("PUT", &self.url, &instance).expect("an instance");
    }

    fn current_incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            if request.contains("CRASH") {
                let is_resumed = !header(&request, "last-event-id").is_empty();
                if request.contains("LATE") && !is_resumed {
                    begin_stream(&mut stream, &header(&request, "x-request-id"));
                }
                if request.contains("SLOW") && is_resumed {
                    std::thread::sleep(2 * LISTED_AFTER);
                }
                self.incarnation.fetch_add(1, Ordering::Relaxed);
                let _ = stream.shutdown(Shutdown::Both);
                std::thread::sleep(LISTED_AFTER);
                return self.register();
            }
            let id = header(&request, "x-request-id");
            let incarnation = self.reports_incarnation.then(|| self.current_incarnation());
            let answer = json!({
                "id": format!("chatcmpl-{id}"), "in_flight": 0, "incarnation": incarnation,
            });
            reply(&mut stream, 200, &answer.to_string());
        }
    }
}

/// Sends the head and the first part of a streamed answer.
fn begin_stream(stream: &mut TcpStream, id: &str) {
    let event = format!("id: 0\ndata: {{\"id\":\"chatcmpl-{id}\"}}\n\n");
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let body = format!(
        "transfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
        event.len()
    );
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

fn chat(fleet: &Fleet, number: u64, prompt: &str) -> String {
    let id = format!("chat-{number}");
    let headers = [("ebonyspur-team", "kerb"), ("x-request-id", id.as_str())];
    let body = json!({
        "model": "planner", "messages": [{ "role": "user", "content": prompt }],
    });
    let router = &fleet.routers[number as usize % fleet.routers.len()];
    let path = "/v1/chat/completions";
    let answer = exchange(router.callers, "POST", path, &headers, &body.to_string());
    format!("{} {}", answer.status, answer.reason())
}

/// Waits until each router knows the current incarnation of each engine.
fn await_incarnations(fleet: &Fleet, engines: &[Engine]) {
    let incarnations: u64 = engines.iter().map(Engine::current_incarnation).sum();
    let listed = |state: &Value| {
        let known = state["engines"].as_array().cloned().unwrap_or_default();
        let incarnations = known
            .iter()
            .filter_map(|engine| engine["incarnation"].as_u64());
        (known.len(), incarnations.sum::<u64>())
    };
    for router in &fleet.routers {
        wait_until("the router knows the new incarnations", || {
            support::dump(router).is_some_and(|state| {
                state["phase"] == "serving" && listed(&state) == (engines.len(), incarnations)
            })
        });
    }
}

/// Sends a request to one router after the other; returns the number of incarnations that
/// ended meanwhile, and the last outcome.
fn send_often(fleet: &Fleet, engines: &[Engine], prompt: &str) -> String {
    let incarnation_sum = || engines.iter().map(Engine::current_incarnation).sum::<u64>();
    let before = incarnation_sum();
    let mut outcomes = Vec::new();
    for number in 0..SENDS {
        outcomes.push(chat(fleet, number, prompt));
        await_incarnations(fleet, engines);
    }
    println!("{prompt}: {outcomes:?}");
    let last = outcomes.last().map_or("none", String::as_str);
    format!(
        "{prompt}: incarnations ended {}, last refusal {last}\n",
        incarnation_sum() - before
    )
}

/// Starts engines behind one router, or two if engines report their incarnation; sends each of
/// `prompts` and then a request that crashes nothing.
fn run_prompts(reports_incarnation: bool, prompts: &[&str]) -> String {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    let start = |number| Engine::start(&fleet, number, reports_incarnation);
    let engines: Vec<_> = (1..=ENGINES).map(start).collect();
    // Only a crash that the engine itself reports reaches the other router in time.
    for _ in 0..=u32::from(reports_incarnation) {
        fleet.add_router("");
    }
    await_incarnations(&fleet, &engines);
    let lines = prompts
        .iter()
        .map(|prompt| send_often(&fleet, &engines, prompt));
    let lines: String = lines.collect();
    lines + "innocent: " + &chat(&fleet, SENDS, "plan")
}

#[test]
fn a_restart_that_the_load_report_shows_counts_as_a_crash() {
    expect![[r#"
        CRASH: incarnations ended 2, last refusal 422 quarantined
        CRASH LATE: incarnations ended 2, last refusal 422 quarantined
        innocent: 200 none"#]]
    .assert_eq(&run_prompts(true, &["CRASH", "CRASH LATE"]));
}

#[test]
fn a_restart_without_report_counts_as_a_crash_once_it_is_listed() {
    expect![[r#"
        CRASH: incarnations ended 2, last refusal 422 quarantined
        CRASH LATE: incarnations ended 2, last refusal 422 quarantined
        innocent: 200 none"#]]
    .assert_eq(&run_prompts(false, &["CRASH", "CRASH LATE"]));
}

// The crash of the next incarnation was taken for the one that broke off the answer.
#[test]
fn a_resumed_request_that_crashes_a_listed_incarnation_counts_once_more() {
    expect![[r#"
        CRASH LATE SLOW: incarnations ended 2, last refusal 422 quarantined
        innocent: 200 none"#]]
    .assert_eq(&run_prompts(false, &["CRASH LATE SLOW"]));
}
