//! An engine crashes while another one, which was asked to go on with its stream, has sent half of a
//! piece: that half is lost and the rest is passed on as a piece.

use std::{
    io::Write,
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use super::{config, event, new_id, one_tenant, plain_request, stream_request, KEY};
use crate::{
    fleet::{chunk, plain_answer, stream_head, Flag, Fleet, LAST_CHUNK},
    http::{self, closes_within, Message},
    Outcome,
};

const PIECES: u32 = 12;

/// Time from the head of the first engine's response, after which it is dark, to the end of its process.
const DARK: Duration = Duration::from_millis(1_500);

/// Time between the two halves of the second engine's first piece.
const BETWEEN_HALVES: Duration = Duration::from_millis(800);

const PACE: Duration = Duration::from_millis(40);

const STREAMS: usize = 5;

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    let first_taken: Arc<Vec<Flag>> = Arc::new((0..STREAMS).map(|_| Flag::default()).collect());
    let ids: Arc<Vec<String>> = Arc::new((0..STREAMS).map(|_| new_id()).collect());
    for engine in 1..=2 {
        let (fleet_, taken, ids) = (fleet.clone(), first_taken.clone(), ids.clone());
        fleet.start_server(&format!("writer-{engine}"), "writers", 64, move |request, stream| {
            let index = ids.iter().position(|id| id == request.attempt());
            let is_first = index.is_some_and(|index| !taken[index].set());
            let after = request.header("last-event-id").unwrap_or("-").to_string();
            fleet_.note(&format!("engine {engine} begins {} after={after}", request.attempt()));
            let is_done = if fleet_.has_trouble && is_first {
                let _ = stream.write_all(stream_head(request).as_bytes());
                let is_closed = closes_within(stream, DARK);
                fleet_.note(&format!("engine {engine} crashes, closed before: {is_closed}"));
                false
            } else {
                let pause = fleet_.has_trouble.then_some(BETWEEN_HALVES);
                write_stream(request, stream, pause)
            };
            fleet_.note(&format!("engine {engine} ends {} whole={is_done}", request.attempt()));
            is_done
        });
    }
    fleet.start_server("desk-1", "desk", 6, |request, stream| {
        stream.write_all(plain_answer(request, "desk").as_bytes()).is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    fleet.put_config(&config(1, &one_tenant()))?;
    fleet.await_routers(|| plain_request("GET", "/look/1", &new_id(), KEY))?;
    let whole: String = (1..=PIECES).map(event).collect();
    let mut damaged = Vec::new();
    for id in ids.iter() {
        fleet.note(&format!("caller sends {id}"));
        let request = stream_request(id, KEY, 15_000);
        match http::call(fleet.front(0), &request, Duration::from_secs(15)) {
            Ok(answer) => {
                let text = answer.text();
                fleet.note(&format!(
                    "caller gets {} complete={} begins with {:?}",
                    answer.status(),
                    answer.is_complete,
                    text.chars().take(60).collect::<String>()
                ));
                if answer.status() == 200 && answer.is_complete && text != whole {
                    damaged.push(id.clone());
                }
            }
            Err(err) => fleet.note(&format!("caller gets {err}")),
        }
        // An engine that has crashed is avoided for a time.
        thread::sleep(Duration::from_millis(2_500));
    }
    let what = format!("{} of {STREAMS} streams ended as complete with other pieces than any engine made", damaged.len());
    Ok(if damaged.is_empty() { Outcome::Held(what) } else { Outcome::Broken(what) })
}

/// Writes the pieces after the one that the request names, the first in two halves with `pause` between.
fn write_stream(request: &Message, stream: &mut TcpStream, pause: Option<Duration>) -> bool {
    let after: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    if stream.write_all(stream_head(request).as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=PIECES {
        let piece = event(number);
        let halves = match pause {
            // Behind the line with the number.
            Some(pause) if number == after + 1 => {
                let at = piece.find("piece").unwrap_or(1);
                if stream.write_all(chunk(&piece[..at]).as_bytes()).is_err() || closes_within(stream, pause) {
                    return false;
                }
                &piece[at..]
            }
            _ => &piece[..],
        };
        if stream.write_all(chunk(halves).as_bytes()).is_err() || closes_within(stream, PACE) {
            return false;
        }
    }
    stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
}
