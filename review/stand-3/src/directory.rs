//! Callers that ask the machines of their failure domain where to connect, and keep their channels open.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{has_trouble, is_ready, CannotRun, Fleet, Record, CONTACT},
    http,
};

const CONFIG: &str = r#"{"version":1,
 "routes":[{"name":"look","host":"chats.example","path_prefix":"/look/","route_kind":"safe","service":"desk","timeout_ms":4000,"latency_goal_ms":300,"priority":1,"max_attempts":2,"anonymous":true,"sticky":false}],
 "services":[{"name":"desk","health_path":"/healthz","max_conns":500,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Callers of one failure domain.
const CALLERS: usize = 103;

/// Callers that try and get no channel for [`CONTACT`] from which on the rule is broken.
const MIN_SHUT_OUT: usize = 7;

/// Time for which callers ask.
const LENGTH: Duration = Duration::from_secs(12);

/// Time for which a caller waits for an answer, and for which it then uses it.
const PATIENCE: Duration = Duration::from_secs(1);
const TTL: Duration = Duration::from_secs(2);

const PATH: &str = "/-/resolve?name=chats.example&region=region-1&zone=zone-1";

/// Asks for addresses on an open channel.
fn ask(channel: &TcpStream) -> bool {
    let answer = http::exchange(channel, "GET", PATH, &[("Host", "directory")], "");
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Asks on the kept channel, or on a new one to the first of `nodes` that answers.
fn resolve(kept: &mut Option<TcpStream>, nodes: &[SocketAddr]) -> bool {
    if kept.as_ref().is_some_and(ask) {
        return true;
    }
    *kept = None;
    for node in nodes {
        let channel = http::connect(*node, PATIENCE).ok();
        if let Some(channel) = channel.filter(ask) {
            *kept = Some(channel);
            return true;
        }
    }
    false
}

/// Asks again and again; returns the longest time for which no answer came.
fn call(number: usize, nodes: [SocketAddr; 2], record: &Record) -> Duration {
    let started = Instant::now();
    let (mut kept, mut last, mut longest) = (None, started, Duration::ZERO);
    while started.elapsed() < LENGTH {
        let is_answered = resolve(&mut kept, &nodes);
        longest = longest.max(last.elapsed());
        if is_answered {
            last = Instant::now();
            thread::sleep(TTL);
        } else {
            record.line(format!("caller {number} gets no answer"));
            thread::sleep(Duration::from_millis(200));
        }
        last = if is_answered { Instant::now() } else { last };
    }
    longest
}

/// The callers of a domain ask its two machines for addresses every two seconds, each the one that is next
/// to it first, and keep the channel, which the answers announce. One machine is killed before; without the
/// disruption both run.
pub fn kept_channels() -> Result<bool, CannotRun> {
    let mut fleet = Fleet::start(2, CONFIG)?;
    fleet.add_server(1, |settings| settings)?;
    fleet.start_routers()?;
    if has_trouble() {
        fleet.kill_router(2);
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let nodes = [fleet.directory(1), fleet.directory(2)];
    let (record, ready) = (fleet.record.clone(), fleet.ready(1));
    let unready = AtomicUsize::new(0);
    let waits: Vec<Duration> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let mut nodes = nodes;
                nodes.rotate_left(number % 2);
                let record = &record;
                scope.spawn(move || call(number, nodes, record))
            })
            .collect();
        scope.spawn(|| {
            for _ in 0..LENGTH.as_secs() {
                let is_ready = is_ready(ready);
                unready.fetch_add(usize::from(!is_ready), Ordering::SeqCst);
                record.line(format!("machine 1 says that it is ready: {is_ready}"));
                thread::sleep(Duration::from_secs(1));
            }
        });
        let waits = callers.into_iter().map(|caller| caller.join());
        waits.map(|wait| wait.unwrap_or_default()).collect()
    });
    let shut_out = waits.iter().filter(|wait| **wait > CONTACT).count();
    let unready = unready.load(Ordering::SeqCst);
    record.line(format!(
        "{shut_out} of {CALLERS} callers had no answer for longer than {} ms; the machine was not ready {unready} times",
        CONTACT.as_millis()
    ));
    if unready > 0 {
        return Err(CannotRun("the machine was not ready all the time".into()));
    }
    let holds = shut_out < MIN_SHUT_OUT;
    record.line(if holds {
        "the rule held"
    } else {
        "RECOVER is broken"
    });
    Ok(holds)
}
