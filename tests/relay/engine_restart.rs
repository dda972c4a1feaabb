//! A request that crashes engines which are restarted at once.

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

/// Engines of the fleet.
const ENGINES: u64 = 3;

/// Times that the request is sent.
const SENDS: u64 = 6;

/// Time from a crash until the new life is on the instance list.
const LISTED_AFTER: Duration = Duration::from_millis(400);

/// An engine whose socket outlives its crashes; each one begins a new life.
#[derive(Clone)]
struct Engine {
    url: String,
    address: SocketAddr,
    life: Arc<AtomicU64>,
    /// Whether its load report tells its life.
    says_life: bool,
}

impl Engine {
    fn start(fleet: &Fleet, number: u64, says_life: bool) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a listener");
        let engine = Engine {
            url: fleet.platform_url(&format!("/v1/instances/engine-{number}")),
            address,
            life: Arc::new(AtomicU64::new(1)),
            says_life,
        };
        engine.register();
        let accepting = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                std::thread::spawn(move || engine.converse(stream));
            }
        });
        engine
    }

    fn register(&self) {
        let instance = json!({
            "kind": "engine", "pool": "planners", "address": self.address,
            "failure_domain": "d9", "state": "live", "incarnation": self.lives(),
        });
        support::call("PUT", &self.url, &instance).expect("an instance");
    }

    fn lives(&self) -> u64 {
        self.life.load(Ordering::Relaxed)
    }

    fn converse(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            if request.contains("CRASH") {
                if request.contains("LATE") && header(&request, "last-event-id").is_empty() {
                    begin(&mut stream, &header(&request, "x-request-id"));
                }
                self.life.fetch_add(1, Ordering::Relaxed);
                let _ = stream.shutdown(Shutdown::Both);
                std::thread::sleep(LISTED_AFTER);
                return self.register();
            }
            let id = header(&request, "x-request-id");
            let life = self.says_life.then(|| self.lives());
            let answer = json!({
                "id": format!("chatcmpl-{id}"), "in_flight": 0, "incarnation": life,
            });
            reply(&mut stream, 200, &answer.to_string());
        }
    }
}

/// Sends the first part of a stream.
fn begin(stream: &mut TcpStream, id: &str) {
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

/// Waits until each router lists the present life of each engine.
fn await_lives(fleet: &Fleet, engines: &[Engine]) {
    let lives: u64 = engines.iter().map(Engine::lives).sum();
    let listed = |state: &Value| {
        let known = state["engines"].as_array().cloned().unwrap_or_default();
        let lives = known
            .iter()
            .filter_map(|engine| engine["incarnation"].as_u64());
        (known.len(), lives.sum::<u64>())
    };
    for router in &fleet.routers {
        wait_until("the router lists the new lives", || {
            support::dump(router).is_some_and(|state| {
                state["phase"] == "serving" && listed(&state) == (engines.len(), lives)
            })
        });
    }
}

/// Sends a request to one router after the other; returns the lives that ended meanwhile.
fn send_often(fleet: &Fleet, engines: &[Engine], prompt: &str) -> String {
    let lives = || engines.iter().map(Engine::lives).sum::<u64>();
    let before = lives();
    let mut refusals = Vec::new();
    for number in 0..SENDS {
        refusals.push(chat(fleet, number, prompt));
        await_lives(fleet, engines);
    }
    println!("{prompt}: {refusals:?}");
    let last = refusals.last().map_or("none", String::as_str);
    format!(
        "{prompt}: lives ended {}, last refusal {last}\n",
        lives() - before
    )
}

/// Starts engines behind one router or two, and sends them each of `prompts` and an innocent one.
fn table(says_life: bool, prompts: &[&str]) -> String {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    let start = |number| Engine::start(&fleet, number, says_life);
    let engines: Vec<_> = (1..=ENGINES).map(start).collect();
    // Only a death that the engine itself shows is told to the other router in time.
    for _ in 0..=u32::from(says_life) {
        fleet.add_router("");
    }
    await_lives(&fleet, &engines);
    let lines = prompts
        .iter()
        .map(|prompt| send_often(&fleet, &engines, prompt));
    let lines: String = lines.collect();
    lines + "innocent: " + &chat(&fleet, SENDS, "plan")
}

#[test]
fn engines_that_are_restarted_at_once_and_say_so_count_as_dead() {
    expect![[r#"
        CRASH: lives ended 2, last refusal 422 quarantined
        CRASH LATE: lives ended 2, last refusal 422 quarantined
        innocent: 200 none"#]]
    .assert_eq(&table(true, &["CRASH", "CRASH LATE"]));
}

#[test]
fn engines_that_are_restarted_at_once_count_as_dead_once_they_are_listed() {
    expect![[r#"
        CRASH: lives ended 2, last refusal 422 quarantined
        CRASH LATE: lives ended 2, last refusal 422 quarantined
        innocent: 200 none"#]]
    .assert_eq(&table(false, &["CRASH", "CRASH LATE"]));
}
