//! An engine that accepts connections and never answers, beside one that works.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
};

use expect_test::expect;
use serde_json::json;

use crate::support::{self, free_address, http::exchange, Fleet};

/// Starts a server that accepts connections, reads from them and never answers; returns its
/// address and the number of connections accepted.
fn silent_server() -> (SocketAddr, Arc<AtomicU32>) {
    let address = free_address();
    let listener = TcpListener::bind(address).expect("a listener");
    let accepted = Arc::new(AtomicU32::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let mut stream = stream;
                let mut buf = [0; 1024];
                while stream.read(&mut buf).is_ok_and(|len| len > 0) {}
            });
        }
    });
    (address, accepted)
}

#[test]
fn a_chat_sent_to_a_silent_engine_is_answered_by_another_engine() {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    fleet.add_engine(&[]);
    let (address, accepted) = silent_server();
    let instance = json!({
        "kind": "engine", "pool": "planners", "address": address,
        "failure_domain": "d9", "state": "live", "incarnation": 1,
    });
    let url = fleet.platform_url("/v1/instances/engine-9");
    support::call("PUT", &url, &instance).expect("an instance");
    fleet.add_router("limits: {progress_ms: 500}\n");
    let router = &fleet.routers[0];
    support::wait_until("the router knows both engines", || {
        support::dump(router).is_some_and(|state| {
            state["phase"] == "serving" && state["engines"].as_array().is_some_and(|e| e.len() == 2)
        })
    });
    let body = json!({
        "model": "planner", "stream": true, "max_tokens": 3,
        "messages": [{ "role": "user", "content": "a bathroom" }],
    })
    .to_string();
    let mut whole = 0;
    for number in 0..8 {
        let (id, chat) = (format!("req-{number}"), format!("chat-{number}"));
        let headers = [
            ("ebonyspur-team", "kerb"),
            ("ebonyspur-chat", chat.as_str()),
            ("x-request-id", id.as_str()),
        ];
        let path = "/v1/chat/completions";
        let answer = exchange(router.callers, "POST", path, &headers, &body);
        let own = answer.body.contains(&format!("{id}/2"));
        whole += u32::from(answer.whole && own && answer.body.ends_with("data: [DONE]\n\n"));
    }
    expect!["8 of 8 whole, the silent one was asked: true"].assert_eq(&format!(
        "{whole} of 8 whole, the silent one was asked: {}",
        accepted.load(Ordering::Relaxed) > 0
    ));
}
