//! Another writer leaves an entry with fields missing under the id of a replica of another service;
//! the routers use it, and that replica runs requests of a service that it does not belong to.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    config,
    consumer::Channel,
    fleet::{Fleet, Record},
    replica::Replica,
    route,
};

const CONSUMERS: usize = 4;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let unsafe_kind = r#""route_kind":"unsafe","sticky":false"#;
    let routes = [
        route("book", "trades", 1_500, 100, unsafe_kind),
        route("count", "planner", 1_500, 100, unsafe_kind),
    ];
    let fleet = Arc::new(Fleet::start(record, 2, &config(&routes.join(",")), "")?);
    let start = |id: &str, service: &str| {
        let replica = Replica::start(record, (id, service), (6, 15, 0), None);
        replica.register(fleet.store, Duration::from_millis(1_200));
        replica
    };
    let _trades = [start("t-1", "trades"), start("t-2", "trades")];
    let others = [start("p-1", "planner"), start("p-2", "planner")];
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for n in 0..fleet.count() {
        for c in 0..CONSUMERS {
            let (fleet, record, stop) = (fleet.clone(), record.clone(), stop.clone());
            threads.push(thread::spawn(move || {
                let mut channel: Option<Channel> = None;
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let open = channel
                        .take()
                        .or_else(|| Channel::open(fleet.front(n)).ok());
                    let attempt = format!("b-{n}-{c}-{number}");
                    if let Some(mut open) = open {
                        let answer = open
                            .send(&attempt, "/book/1", 1_500)
                            .and_then(|()| open.answer(Duration::from_secs(2)));
                        match answer {
                            Ok(answer) => {
                                let body = String::from_utf8_lossy(&answer.body);
                                record.line(format!(
                                    "booking {attempt} got {}: {body}",
                                    answer.status()
                                ));
                                channel = Some(open);
                            }
                            Err(err) => record.line(format!("booking {attempt}: {err}")),
                        }
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(3));
        if has_trouble {
            let address = others[0].address;
            let entry = format!(
                r#"{{"service":"trades","address":"{address}","zone":"zone-0","slots":6,"state":"ready"}}"#
            );
            record.line(format!("another writer writes servers/p-1: {entry}"));
            fleet.put("keyed.servers/p-1", &entry);
        }
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let wrong: usize = others
        .iter()
        .map(|replica| {
            replica
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|(_, path)| path.starts_with("/book/"))
                .count()
        })
        .sum();
    record.line(format!(
        "bookings that a replica of another service ran: {wrong}"
    ));
    Ok(wrong > 0)
}
