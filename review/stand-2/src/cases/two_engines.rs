//! A stream runs at two engines at once for longer than 400 ms.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{config, event, new_id, one_tenant, plain_request, stream_request, KEY};
use crate::{
    fleet::{chunk, plain_answer, stream_head, Flag, Fleet, LAST_CHUNK},
    http::{self, closes_within, Message},
    Outcome,
};

const PIECES: u32 = 30;

/// Silence of the first engine after its first piece: a second or so.
const FIRST_SILENCE: Duration = Duration::from_millis(1_600);

/// Silence of the second engine within its first piece.
const SECOND_SILENCE: Duration = Duration::from_millis(900);

/// Usual time between two pieces.
const PACE: Duration = Duration::from_millis(50);

/// Time that the rule allows a request at two engines.
const ALLOWED: Duration = Duration::from_millis(400);

/// Work of an engine on the request.
#[derive(Clone, Copy)]
struct Run {
    engine: u32,
    began: Instant,
    ended: Option<Instant>,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    let runs = Runs::default();
    let first_taken = Flag::default();
    for engine in 1..=2 {
        let (fleet_, runs, taken) = (fleet.clone(), runs.clone(), first_taken.clone());
        fleet.start_server(&format!("writer-{engine}"), "writers", 64, move |request, stream| {
            let is_first = !taken.set();
            let index = {
                let mut runs = runs.lock().unwrap();
                runs.push(Run { engine, began: Instant::now(), ended: None });
                runs.len() - 1
            };
            let after = request.header("last-event-id").unwrap_or("-").to_string();
            fleet_.note(&format!("engine {engine} begins {} after={after}", request.attempt()));
            let silence = fleet_.has_trouble.then_some(if is_first { FIRST_SILENCE } else { SECOND_SILENCE });
            let is_done = write_stream(request, stream, is_first, silence);
            runs.lock().unwrap()[index].ended = Some(Instant::now());
            let how = if is_done { "to its end" } else { "as its channel was closed" };
            fleet_.note(&format!("engine {engine} stops {} {how}", request.attempt()));
            is_done
        });
    }
    fleet.start_server("desk-1", "desk", 6, |request, stream| {
        stream.write_all(plain_answer(request, "desk").as_bytes()).is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    fleet.put_config(&config(1, &one_tenant()))?;
    fleet.await_routers(|| plain_request("GET", "/look/1", &new_id(), KEY))?;
    // Both machines are in touch: nothing has happened to them for `contact_ms`.
    thread::sleep(Duration::from_millis(3_500));
    let id = new_id();
    fleet.note(&format!("caller sends {id}"));
    let answer = http::call(fleet.front(0), &stream_request(&id, KEY, 15_000), Duration::from_secs(15));
    match &answer {
        Ok(answer) => fleet.note(&format!("caller gets {} complete={} bytes={}", answer.status(), answer.is_complete, answer.body.len())),
        Err(err) => fleet.note(&format!("caller gets {err}")),
    }
    thread::sleep(Duration::from_millis(500));
    let runs = runs.lock().unwrap();
    let [first, second] = runs.as_slice() else {
        return Ok(Outcome::Held(format!("the stream ran at {} engines", runs.len())));
    };
    let ended = first.ended.unwrap_or_else(Instant::now).min(second.ended.unwrap_or_else(Instant::now));
    let both = ended.saturating_duration_since(second.began);
    let what = format!("engines {} and {} worked on {id} together for {} ms", first.engine, second.engine, both.as_millis());
    Ok(if both > ALLOWED { Outcome::Broken(what) } else { Outcome::Held(what) })
}

/// Writes the pieces after the one that the request names; returns whether all were written.
fn write_stream(request: &Message, stream: &mut TcpStream, is_first: bool, silence: Option<Duration>) -> bool {
    let after: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    if stream.write_all(stream_head(request).as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=PIECES {
        let piece = event(number);
        let is_begun = number == after + 1;
        if let (true, Some(silence)) = (is_begun, silence) {
            // The first engine falls silent behind its first piece, the second one within it.
            let at = if is_first { piece.len() } else { piece.len() / 2 };
            if stream.write_all(chunk(&piece[..at]).as_bytes()).is_err() || closes_within(stream, silence) {
                return false;
            }
            if !is_first && stream.write_all(chunk(&piece[at..]).as_bytes()).is_err() {
                return false;
            }
        } else if stream.write_all(chunk(&piece).as_bytes()).is_err() {
            return false;
        }
        if closes_within(stream, PACE) {
            return false;
        }
    }
    stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
}
