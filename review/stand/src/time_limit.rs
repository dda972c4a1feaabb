//! Engines send bytes without end in the bodies of streams; the routers pass them on past the
//! `timeout_ms` of the route.

use std::{
    io,
    net::TcpStream,
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    consumer::Channel,
    fleet::{Fleet, Record},
    replica::{chunk, event, Replica},
    route,
};

/// Time limit of the route, and of the consumers.
const TIMEOUT_MS: u64 = 2_500;
const TIME_LIMIT_MS: u64 = 10_000;
const WAVES: usize = 4;
const STREAMS_PER_WAVE: usize = 8;

/// One event, and then bytes that are no answer until the caller closes.
fn bytes_without_end(to: &mut TcpStream, _resumed: bool) -> io::Result<()> {
    chunk(to, &event(1))?;
    let bytes = vec![b'x'; 64 << 10];
    loop {
        chunk(to, &bytes)?;
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let kind = r#""route_kind":"streaming","sticky":true,"resumable":false,"gap_aim_ms":400"#;
    let routes = route("draft", "planner", TIMEOUT_MS, 800, kind);
    let fleet = Arc::new(Fleet::start(record, 2, &config(&routes), "")?);
    let engines: Vec<_> = (1..=4)
        .map(|n| {
            Replica::start(
                record,
                (&format!("e-{n}"), "planner"),
                (64, 100, 20),
                Some(bytes_without_end),
            )
        })
        .collect();
    for engine in &engines {
        engine.register(fleet.store, Duration::from_millis(1_000));
    }
    for engine in &engines[..2] {
        engine.is_in_trouble.store(has_trouble, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(5));
    let taken = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for wave in 0..WAVES {
        for n in 0..fleet.count() {
            for s in 0..STREAMS_PER_WAVE {
                let (fleet, record, taken) = (fleet.clone(), record.clone(), taken.clone());
                let attempt = format!("d-{wave}-{n}-{s}");
                threads.push(thread::spawn(move || {
                    let sent = Instant::now();
                    let end = sent + Duration::from_millis(TIME_LIMIT_MS);
                    let stream = Channel::open(fleet.front(n)).and_then(|mut channel| {
                        channel.send(&attempt, "/draft/1", TIME_LIMIT_MS)?;
                        channel.stream(Duration::from_millis(3_200), end)
                    });
                    let took = sent.elapsed().as_millis() as u64;
                    match stream {
                        Ok(stream) => record.line(format!(
                            "stream {attempt}: status {}, {} events, {} bytes, {took} ms, ended by {}",
                            stream.status, stream.events, stream.bytes, stream.end
                        )),
                        Err(err) => record.line(format!("stream {attempt}: {took} ms, {err}")),
                    }
                    taken.lock().unwrap().push(took);
                }));
            }
        }
        thread::sleep(Duration::from_secs(5));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let taken = taken.lock().unwrap();
    let late = taken
        .iter()
        .filter(|took| **took > TIMEOUT_MS + 500)
        .count();
    let long = taken.iter().filter(|took| **took >= TIMEOUT_MS).count();
    record.line(format!(
        "of {} requests {long} lasted {TIMEOUT_MS} ms or more; {late} of these had no end 500 ms later",
        taken.len()
    ));
    Ok(late >= 8 && late * 4 > long)
}
