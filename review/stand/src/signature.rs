//! A plain replica in trouble sends bytes that are no answer of the protocol: a head with status 200
//! and the id of the attempt, but no `X-Response-Signature`; the routers pass it on as a success.

use std::{sync::atomic::Ordering, thread, time::Duration};

use crate::{
    config,
    consumer::Channel,
    fleet::{Fleet, Record},
    replica::Replica,
    route,
};

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let routes = route(
        "book",
        "trades",
        1_500,
        100,
        r#""route_kind":"unsafe","sticky":false"#,
    );
    let fleet = Fleet::start(record, 2, &config(&routes), "")?;
    let trades: Vec<_> = (1..=4)
        .map(|n| Replica::start(record, (&format!("t-{n}"), "trades"), (6, 15, 0), None))
        .collect();
    for replica in &trades {
        replica.register(fleet.store, Duration::from_millis(1_200));
    }
    thread::sleep(Duration::from_secs(4));
    trades[0].is_in_trouble.store(has_trouble, Ordering::SeqCst);
    let (mut answered, mut unsigned) = (0, 0);
    for number in 0..200 {
        let n = number % fleet.count();
        let attempt = format!("b-{n}-{number}");
        let answer = Channel::open(fleet.front(n)).and_then(|mut channel| {
            channel.send(&attempt, "/book/1", 1_500)?;
            channel.answer(Duration::from_secs(2))
        });
        match answer {
            Ok(answer) => {
                let signature = answer.header("x-response-signature");
                let body = String::from_utf8_lossy(&answer.body);
                record.line(format!(
                    "booking {attempt} got {} signature '{signature}' body '{body}'",
                    answer.status()
                ));
                answered += 1;
                unsigned +=
                    usize::from((200..300).contains(&answer.status()) && signature.is_empty());
            }
            Err(err) => record.line(format!("booking {attempt}: {err}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(format!(
        "of {answered} answers {unsigned} were successes without a signature"
    ));
    Ok(unsigned > 0)
}
