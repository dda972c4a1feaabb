//! Measures the time from the acceptance of a configuration change until it is in force on
//! each router, and the start of a router with a long configuration history.
//!
//! Runs real processes. Arguments are the numbers of routers, 19 and 76 by default;
//! `scripts/in-force.sh` builds the programs and runs this benchmark.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use support::{call, free_address, get, wait_until, Fleet, STREAM_BOUNDS, TOKEN};

/// Numbers of routers of the measured fleets.
const FLEETS: [usize; 2] = [19, 76];
/// Measured changes in each fleet.
const CHANGES: usize = 20;
/// Records in the long configuration history.
const HISTORY: usize = 10_000;
const RECORDS_PER_APPEND: usize = 500;

/// Sends a GET request and returns the raw answer, which ends with the connection.
fn read(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn change(number: usize) -> Value {
    json!({
        "record": "change", "id": format!("change-{number}"), "operator": "bench", "at": 0,
        "base": number, "ops": [{ "op": "put_team", "name": format!("team-{}", number % 100) }],
    })
}

/// Publishes a change and returns, for each router, the time until it is in force there.
fn publish(fleet: &Fleet) -> Vec<Duration> {
    let bounds = get(&fleet.platform_url(STREAM_BOUNDS)).expect("the bounds");
    let head = bounds["head"].as_u64().expect("an offset");
    let routers: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| router.operators)
        .collect();
    let waiting: Vec<_> = routers
        .into_iter()
        .map(|router| {
            thread::spawn(move || {
                let path = format!("/v1/decisions?since={head}&wait_ms=30000");
                let answer = read(router, &path).expect("an answer");
                assert!(answer.contains("change-"), "in force within 30 s: {answer}");
                Instant::now()
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let url = fleet.platform_url("/v1/log/config");
    let record = change(head as usize);
    let started = Instant::now();
    call("POST", &url, &json!({ "entries": [record] })).expect("an append");
    // The clock starts before the append is accepted, so the times are upper bounds.
    let times_in_force = waiting
        .into_iter()
        .map(|thread| thread.join().expect("a time"));
    times_in_force
        .map(|in_force_at| in_force_at.saturating_duration_since(started))
        .collect()
}

fn report(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_millis();
    println!(
        "{name}: p50 {} ms, p90 {} ms, max {} ms, {} samples",
        at(0.5),
        at(0.9),
        at(1.0),
        times.len()
    );
}

fn in_force(routers: usize) {
    let mut fleet = Fleet::start(1, routers);
    let times = (0..CHANGES).flat_map(|_| publish(&fleet)).collect();
    report(&format!("in force at {routers} routers"), times);
    let cut_off = routers / 3;
    for index in 0..cut_off {
        fleet.restart_router_with_log(index, free_address());
    }
    fleet.await_ready();
    let (mut connected_times, mut cut_off_times) = (Vec::new(), Vec::new());
    for _ in 0..CHANGES {
        let times = publish(&fleet);
        cut_off_times.extend_from_slice(&times[..cut_off]);
        connected_times.extend_from_slice(&times[cut_off..]);
    }
    let connected_routers = routers - cut_off;
    report(
        &format!("in force at {connected_routers} of {routers} routers that read the log"),
        connected_times,
    );
    report(
        &format!("in force at {cut_off} of {routers} routers that cannot"),
        cut_off_times,
    );
}

fn long_history() {
    let mut fleet = Fleet::platform_only(&["--appends-per-second", "1000"]);
    let url = fleet.platform_url("/v1/log/config");
    for first in (0..HISTORY).step_by(RECORDS_PER_APPEND) {
        let records: Vec<_> = (first..first + RECORDS_PER_APPEND).map(change).collect();
        call("POST", &url, &json!({ "entries": records })).expect("an append");
    }
    let started = Instant::now();
    fleet.add_router("");
    let operators = fleet.routers[0].operators;
    wait_until("the router serves", || {
        read(operators, "/readyz").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    });
    let took = started.elapsed().as_millis();
    println!("serving after a start with {HISTORY} records: {took} ms");
}

fn main() {
    let given = std::env::args().filter_map(|arg| arg.parse().ok());
    let mut fleets: Vec<usize> = given.collect();
    if fleets.is_empty() {
        fleets.extend(FLEETS);
    }
    fleets.into_iter().for_each(in_force);
    long_history();
}
