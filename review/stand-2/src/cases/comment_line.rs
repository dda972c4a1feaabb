//! An engine falls silent for a moment and goes on with a heartbeat, a comment line, and its next piece.
//! Another engine has been asked by then, and the piece is dropped.

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

const PIECES: u32 = 30;

/// Silence of the first engine behind its third piece: a second or so.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Time from a request to its first piece.
const TIME_TO_FIRST: Duration = Duration::from_millis(600);

/// Usual time between two pieces.
const PACE: Duration = Duration::from_millis(50);

/// Piece behind which the first engine falls silent.
const SILENT_AFTER: u32 = 3;

const STREAMS: usize = 5;

pub fn play(fleet: &Arc<Fleet>) -> Result<Outcome, String> {
    let taken: Arc<Vec<Flag>> = Arc::new((0..STREAMS).map(|_| Flag::default()).collect());
    let ids: Arc<Vec<String>> = Arc::new((0..STREAMS).map(|_| new_id()).collect());
    for engine in 1..=2 {
        let (fleet_, taken, ids) = (fleet.clone(), taken.clone(), ids.clone());
        fleet.start_server(&format!("writer-{engine}"), "writers", 64, move |request, stream| {
            let index = ids.iter().position(|id| id == request.attempt());
            let is_first = index.is_some_and(|index| !taken[index].set());
            let after = request.header("last-event-id").unwrap_or("-").to_string();
            fleet_.note(&format!("engine {engine} begins {} after={after}", request.attempt()));
            let is_done = write_stream(request, stream, is_first && fleet_.has_trouble);
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
    let mut damaged = 0;
    for id in ids.iter() {
        fleet.note(&format!("caller sends {id}"));
        let request = stream_request(id, KEY, 15_000);
        match http::call(fleet.front(0), &request, Duration::from_secs(15)) {
            Ok(answer) => {
                let text = answer.text();
                let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
                let numbers: Vec<u32> = numbers.filter_map(|number| number.parse().ok()).collect();
                let missing: Vec<u32> = (1..=PIECES).filter(|number| !numbers.contains(number)).collect();
                fleet.note(&format!(
                    "caller gets {} complete={} missing pieces {missing:?}",
                    answer.status(),
                    answer.is_complete
                ));
                damaged += usize::from(answer.status() == 200 && answer.is_complete && !missing.is_empty());
            }
            Err(err) => fleet.note(&format!("caller gets {err}")),
        }
        // An engine that fell silent is avoided for a time.
        thread::sleep(Duration::from_millis(2_500));
    }
    let what = format!("{damaged} of {STREAMS} streams ended as complete without a piece");
    Ok(if damaged == 0 { Outcome::Held(what) } else { Outcome::Broken(what) })
}

/// Writes the pieces after the one that the request names; returns whether all were written.
fn write_stream(request: &Message, stream: &mut TcpStream, falls_silent: bool) -> bool {
    let after: u32 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    if closes_within(stream, TIME_TO_FIRST) || stream.write_all(stream_head(request).as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=PIECES {
        let mut piece = event(number);
        if falls_silent && number == SILENT_AFTER + 1 {
            if closes_within(stream, SILENCE) {
                return false;
            }
            // The heartbeat that was due meanwhile.
            piece.insert_str(0, ": heartbeat\n");
        }
        if stream.write_all(chunk(&piece).as_bytes()).is_err() || closes_within(stream, PACE) {
            return false;
        }
    }
    stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
}
