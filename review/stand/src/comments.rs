//! An engine falls silent in its streams and then sends comment lines without end; the routers keep
//! them in memory while they wait for the engine that is to go on.

use std::{
    collections::BTreeSet,
    io,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    consumer::Channel,
    fleet::{Fleet, Record, MEMORY_MB},
    replica::{chunk, event, Replica},
    route,
};

const SECONDS: u64 = 60;
const WAVES: u64 = 8;
const STREAMS_PER_WAVE: usize = 10;
const BOOKERS: usize = 8;

/// One event, a silence of 1.8 s, and then comment lines until the caller closes.
fn silent_then_comments(to: &mut TcpStream, resumed: bool) -> io::Result<()> {
    if !resumed {
        chunk(to, &event(1))?;
    }
    thread::sleep(Duration::from_millis(1_800));
    let line = format!(":{}\n\n", " ".repeat(1_000)).into_bytes();
    let lines: Vec<u8> = line.repeat(60);
    loop {
        chunk(to, &lines)?;
    }
}

struct Lost {
    by_router: Vec<AtomicUsize>,
    attempts: Mutex<Vec<(usize, String)>>,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let routes = [
        route(
            "draft",
            "planner",
            12_000,
            800,
            r#""route_kind":"streaming","sticky":true,"resumable":true,"gap_aim_ms":400"#,
        ),
        route(
            "book",
            "trades",
            1_500,
            100,
            r#""route_kind":"unsafe","sticky":false"#,
        ),
    ];
    let fleet = Arc::new(Fleet::start(record, 2, &config(&routes.join(",")), "")?);
    let engines: Vec<_> = (1..=4)
        .map(|n| {
            Replica::start(
                record,
                (&format!("e-{n}"), "planner"),
                (64, 100, 20),
                Some(silent_then_comments),
            )
        })
        .collect();
    let trades: Vec<_> = (1..=4)
        .map(|n| Replica::start(record, (&format!("t-{n}"), "trades"), (6, 200, 0), None))
        .collect();
    engines[0]
        .is_in_trouble
        .store(has_trouble, Ordering::SeqCst);
    for replica in engines.iter().chain(&trades) {
        replica.register(fleet.store, Duration::from_millis(1_000));
    }
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Lost {
        by_router: (0..fleet.count()).map(|_| AtomicUsize::new(0)).collect(),
        attempts: Mutex::default(),
    });
    let mut threads = Vec::new();
    for n in 0..fleet.count() {
        for b in 0..BOOKERS {
            let (fleet, lost, stop, record) =
                (fleet.clone(), lost.clone(), stop.clone(), record.clone());
            threads.push(thread::spawn(move || {
                book(&fleet, n, b, &lost, &stop, &record)
            }));
        }
    }
    let kills: Arc<Vec<AtomicUsize>> =
        Arc::new((0..fleet.count()).map(|_| AtomicUsize::new(0)).collect());
    for n in 0..fleet.count() {
        let (fleet, stop, kills, record) =
            (fleet.clone(), stop.clone(), kills.clone(), record.clone());
        threads.push(thread::spawn(move || {
            watch_memory(&fleet, n, &kills[n], &stop, &record)
        }));
    }
    // All machines are in touch by now.
    thread::sleep(Duration::from_secs(4));
    for wave in 0..WAVES {
        for n in 0..fleet.count() {
            for s in 0..STREAMS_PER_WAVE {
                let (fleet, record) = (fleet.clone(), record.clone());
                threads.push(thread::spawn(move || {
                    draft(&fleet, n, &format!("d-{wave}-{n}-{s}"), &record)
                }));
            }
        }
        thread::sleep(Duration::from_secs(6));
        let enough = |n: usize| kills[n].load(Ordering::SeqCst) >= 3;
        if (0..fleet.count()).all(enough) || record.seconds() > SECONDS as f64 {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let runs: BTreeSet<String> = trades
        .iter()
        .flat_map(|t| {
            t.runs
                .lock()
                .unwrap()
                .iter()
                .map(|(id, _)| id.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    let mut passed_on = vec![0; fleet.count()];
    for (n, attempt) in lost.attempts.lock().unwrap().iter() {
        passed_on[*n] += usize::from(runs.contains(attempt));
    }
    let kills: Vec<_> = kills.iter().map(|k| k.load(Ordering::SeqCst)).collect();
    record.line(format!("runs of sound plain replicas: {}", runs.len()));
    record.line(format!(
        "by router: ends for memory over {MEMORY_MB} MB: {kills:?}; bookings that a sound replica ran and whose kept channel closed without an answer: {passed_on:?}"
    ));
    Ok(passed_on.iter().any(|n| *n > 3))
}

/// Sends bookings one after the other on a kept channel.
fn book(fleet: &Fleet, n: usize, b: usize, lost: &Lost, stop: &AtomicBool, record: &Record) {
    let mut channel: Option<Channel> = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Some(open) = channel
            .take()
            .or_else(|| Channel::open(fleet.front(n)).ok())
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut open = open;
        let attempt = format!("b-{n}-{b}-{number}");
        let answer = open
            .send(&attempt, "/book/1", 1_500)
            .and_then(|()| open.answer(Duration::from_millis(2_500)));
        match answer {
            Ok(answer) => {
                if answer.status() != 200 {
                    record.line(format!("booking {attempt} got {}", answer.status()));
                    thread::sleep(Duration::from_millis(100));
                }
                if answer.header("connection") != "close" {
                    channel = Some(open);
                }
            }
            Err(err) => {
                record.line(format!(
                    "booking {attempt}: channel closed without an answer, used before: {} ({err})",
                    open.answered
                ));
                if open.answered > 0 {
                    lost.by_router[n].fetch_add(1, Ordering::SeqCst);
                    lost.attempts.lock().unwrap().push((n, attempt));
                }
                thread::sleep(Duration::from_millis(500));
            }
        }
    }
}

/// Asks for a stream; leaves after a gap of 3.2 s, four times the aim.
fn draft(fleet: &Fleet, n: usize, attempt: &str, record: &Record) {
    let end = Instant::now() + Duration::from_secs(12);
    let stream = Channel::open(fleet.front(n)).and_then(|mut channel| {
        channel.send(attempt, "/draft/1", 12_000)?;
        channel.stream(Duration::from_millis(3_200), end)
    });
    match stream {
        Ok(stream) => record.line(format!(
            "stream {attempt}: status {}, {} events, {} bytes, ended by {}",
            stream.status, stream.events, stream.bytes, stream.end
        )),
        Err(err) => record.line(format!("stream {attempt}: {err}")),
    }
}

/// Does what the platform does: kills a process that exceeds its memory, and starts it again.
fn watch_memory(fleet: &Fleet, n: usize, kills: &AtomicUsize, stop: &AtomicBool, record: &Record) {
    let mut most = 0;
    while !stop.load(Ordering::SeqCst) {
        let memory = fleet.memory_mb(n);
        most = memory.max(most);
        if memory > MEMORY_MB {
            record.line(format!(
                "router {n} holds {memory} MB, over its {MEMORY_MB} MB: killed and started again"
            ));
            fleet.kill_and_restart(n);
            kills.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line(format!("router {n} held {most} MB at most"));
}
