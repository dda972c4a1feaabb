//! Callers that keep the channels of their address lookups open keep all others from any lookup.

use std::{
    io::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{config, new_id, one_tenant, plain_request, KEY};
use crate::{
    fleet::{plain_answer, Fleet},
    http::{self, Reader},
    Outcome,
};

/// Callers that keep their channels.
const KEEPING: usize = 70;

/// Ordinary callers that look up an address later.
const OTHERS: usize = 8;

/// Time over which these try.
const TRIES_TIME: Duration = Duration::from_secs(8);

/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);

fn lookup(zone: &str) -> String {
    format!("GET /-/resolve?name=chats.example&region=region-1&zone={zone} HTTP/1.1\r\nHost: lookup\r\n\r\n")
}

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    fleet.start_server("desk-1", "desk", 6, |request, stream| {
        stream.write_all(plain_answer(request, "desk").as_bytes()).is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    fleet.put_config(&config(1, &one_tenant()))?;
    fleet.await_routers(|| plain_request("GET", "/look/1", &new_id(), KEY))?;
    thread::sleep(Duration::from_millis(3_500));
    let mut kept = Vec::new();
    let mut served = 0;
    if fleet.has_trouble {
        for _ in 0..KEEPING {
            for router in 0..fleet.routers.len() {
                let stream = std::net::TcpStream::connect_timeout(&fleet.directory(router), Duration::from_secs(1));
                let stream = stream.map_err(|err| err.to_string())?;
                let mut reader = Reader::new(stream);
                if http::exchange(&mut reader, &lookup("zone-1"), Duration::from_millis(50)).is_ok() {
                    served += 1;
                }
                kept.push(reader);
            }
        }
        fleet.note(&format!("{} callers looked up an address, {served} got it, all keep their channels", kept.len()));
    }
    let began = Instant::now();
    let others: Vec<_> = (0..OTHERS).map(|caller| {
        let fleet = fleet.clone();
        thread::spawn(move || {
            let (mut tries, mut answers) = (0, 0);
            while began.elapsed() < TRIES_TIME {
                for router in 0..fleet.routers.len() {
                    tries += 1;
                    let answer = http::call(fleet.directory(router), &lookup("zone-1"), Duration::from_secs(1));
                    let got = answer.as_ref().map_or_else(|err| err.clone(), |a| a.status().to_string());
                    fleet.note(&format!("caller {caller} asks router {router}: {got}"));
                    if answer.is_ok_and(|a| a.status() == 200) {
                        answers += 1;
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(300));
            }
            (tries, answers)
        })
    }).collect();
    let (mut tries, mut answers) = (0, 0);
    for other in others {
        let (more_tries, more_answers) = other.join().unwrap_or_default();
        tries += more_tries;
        answers += more_answers;
    }
    let mut ready = 0;
    for router in 0..fleet.routers.len() {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(fleet.ready(router), request, Duration::from_secs(1));
        ready += usize::from(answer.is_ok_and(|a| a.status() == 200));
    }
    drop(kept);
    let what = format!(
        "{OTHERS} ordinary callers asked {tries} times for an address over {} s and got {answers}; {ready} machines say that they are ready",
        began.elapsed().as_secs()
    );
    let is_broken = answers == 0 && ready > 0 && began.elapsed() > CONTACT;
    Ok(if is_broken { Outcome::Broken(what) } else { Outcome::Held(what) })
}
