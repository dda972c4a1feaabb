//! A router is stopped as planned. The answers to bookings that it takes meanwhile are lost to callers
//! that read slowly.

use std::{
    io::{Read, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{config, new_id, one_tenant, plain_request, KEY};
use crate::{
    fleet::{plain_answer, Fleet},
    http::{self, Reader},
    Outcome,
};

/// Callers with a kept channel to the router that is stopped.
const CALLERS: usize = 10;

/// Bytes of the body of an answer; the sheet has up to this.
const ANSWER_BYTES: usize = 4_800;

/// Receive buffer of a caller, in bytes.
const RECEIVE_BUFFER: i32 = 2_048;

/// Time limit of the callers, and `timeout_ms` of the route.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);

/// Time from a request until its caller reads on.
const READS_AFTER: Duration = Duration::from_millis(3_940);

/// Time from SIGTERM to the requests; the rule looks at all until a second after `grace_s`.
const SENT_AFTER: Duration = Duration::from_millis(1_000);

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    let pids = std::env::var("ROUTER_PIDS").map_err(|_| "no pids of the routers")?;
    let pid = pids.split(' ').next().unwrap_or_default().to_string();
    let run = Arc::new(Mutex::new(Vec::new()));
    let (fleet_, run_) = (fleet.clone(), run.clone());
    fleet.start_server("desk-1", "desk", 24, move |request, stream| {
        if request.first_line.contains("/book/") {
            fleet_.note(&format!("server runs {}", request.attempt()));
            run_.lock().unwrap().push(request.attempt().to_string());
        }
        thread::sleep(Duration::from_millis(15));
        let is_written = stream.write_all(plain_answer(request, &"x".repeat(ANSWER_BYTES)).as_bytes()).is_ok();
        if request.first_line.contains("/book/") {
            fleet_.note(&format!("server has answered {}", request.attempt()));
        }
        is_written
    });
    thread::sleep(Duration::from_millis(500));
    let timeout = format!(r#""timeout_ms":{}"#, TIME_LIMIT.as_millis());
    let config = config(1, &one_tenant()).replace(r#""timeout_ms":1500"#, &timeout);
    fleet.put_config(&config)?;
    fleet.await_routers(|| plain_request("GET", "/look/1", &new_id(), KEY))?;
    let mut kept = Vec::new();
    for _ in 0..CALLERS {
        let stream = http::connect_with_buffer(fleet.front(0), RECEIVE_BUFFER).map_err(|err| err.to_string())?;
        let mut reader = Reader::new(stream);
        let answer = http::exchange(&mut reader, &plain_request("GET", "/look/1", &new_id(), KEY), Duration::from_secs(2))?;
        if answer.status() != 200 || !answer.is_complete {
            return Err("a first request fails".into());
        }
        kept.push(reader);
    }
    thread::sleep(Duration::from_millis(3_500));
    if fleet.has_trouble {
        let is_sent = std::process::Command::new("kill").args(["-TERM", &pid]).status();
        if !is_sent.is_ok_and(|status| status.success()) {
            return Err("no SIGTERM".into());
        }
        fleet.note("platform: SIGTERM to router 0");
    }
    thread::sleep(SENT_AFTER);
    let callers: Vec<_> = kept.into_iter().map(|reader| {
        let fleet = fleet.clone();
        thread::spawn(move || book(&fleet, reader))
    }).collect();
    let (mut whole, mut lost) = (0, 0);
    for caller in callers {
        let (id, is_whole) = caller.join().unwrap_or_default();
        whole += usize::from(is_whole);
        lost += usize::from(!is_whole && run.lock().unwrap().contains(&id));
    }
    let what = format!("of {CALLERS} bookings {whole} were answered whole; {lost} ran and were cut off");
    Ok(if lost > 0 { Outcome::Broken(what) } else { Outcome::Held(what) })
}

/// Sends a booking, reads on after [`READS_AFTER`], and returns its id and whether the answer is whole.
fn book(fleet: &Fleet, mut reader: Reader) -> (String, bool) {
    let id = new_id();
    let request = plain_request("POST", "/book/1", &id, KEY);
    let request = request.replace("X-Deadline-Ms: 1500", &format!("X-Deadline-Ms: {}", TIME_LIMIT.as_millis()));
    let sent = Instant::now();
    if let Err(err) = reader.stream.write_all(request.as_bytes()) {
        fleet.note(&format!("caller {id}: cannot send: {err}"));
        return (id, false);
    }
    thread::sleep(READS_AFTER);
    let mut text = Vec::new();
    let mut part = [0; 1_024];
    let _ = reader.stream.set_read_timeout(Some(Duration::from_secs(2)));
    let is_whole = |text: &[u8]| {
        let end = text.windows(4).position(|four| four == b"\r\n\r\n");
        end.is_some_and(|end| text.len() - end - 4 >= ANSWER_BYTES)
    };
    let ending = loop {
        if is_whole(&text) {
            break "whole".to_string();
        }
        match reader.stream.read(&mut part) {
            Ok(0) => break "closed".to_string(),
            Ok(len) => text.extend_from_slice(&part[..len]),
            Err(err) => break err.to_string(),
        }
    };
    let first: String = String::from_utf8_lossy(&text).lines().next().unwrap_or_default().to_string();
    fleet.note(&format!(
        "caller {id}: {first:?}, {} bytes, {ending}, after {} ms",
        text.len(),
        sent.elapsed().as_millis()
    ));
    (id, is_whole(&text))
}
