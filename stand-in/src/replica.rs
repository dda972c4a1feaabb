//! A simulated backend server of the users' platform: a transactional server or an engine.
//!
//! Paths that contain `stream` are answered as a model engine does, with numbered events. The
//! query may set `wait_ms` before the answer, `size` added to its body, and for streams `events`,
//! `interval_ms` between them and a text to `echo` in each.
//! The header `x-fault: SERVER=FAULT` of a request injects a fault at the server of that
//! name; `*` matches each server.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{stream, StreamExt};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use serde_json::json;

use crate::web::{self, Req};

/// Number of events of a stream, unless the query sets it.
const EVENTS: u64 = 7;

/// Time between two events of a stream in milliseconds, unless the query sets it.
const EVENT_INTERVAL_MS: u64 = 20;

/// Time between two registrations in the store.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(300);

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name under which the server registers.
    #[arg(long)]
    name: String,
    /// Pool that the server belongs to.
    #[arg(long)]
    pool: String,
    /// Address of the store.
    #[arg(long)]
    store: SocketAddr,
    /// Address under which the server registers, if it is not the one that it listens on.
    #[arg(long)]
    advertise: Option<SocketAddr>,
    /// Failure domain in which the server registers.
    #[arg(long, default_value = "zone-1")]
    domain: String,
    /// Requests that run at once; further ones are refused.
    #[arg(long, default_value_t = 6)]
    slots: usize,
    /// Time after its start for which the server registers as cold, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Time that work takes in percent of the usual one, as answers report it with the load.
    #[arg(long)]
    slowness: Option<u32>,
}

struct Replica {
    args: Args,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Unix time of the start of this incarnation, in milliseconds.
    started_ms: u64,
    running: usize,
    leaving: bool,
    /// Requests that this server began to run, in order, with their headers.
    runs: Vec<serde_json::Value>,
    /// Requests whose connection ended before their answer did.
    cancelled: usize,
}

/// A running request; dropping it frees its slot.
struct Run {
    replica: Arc<Replica>,
    is_complete: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.replica.state.lock().unwrap();
        state.running -= 1;
        state.cancelled += usize::from(!self.is_complete);
    }
}

pub async fn run(args: Args) {
    let listen = args.listen;
    let state = Mutex::new(State {
        started_ms: unix_millis(),
        ..State::default()
    });
    let replica = Arc::new(Replica { args, state });
    tokio::spawn(register(replica.clone()));
    web::serve(listen, replica, handle).await;
}

/// Returns the present Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

async fn register(replica: Arc<Replica>) {
    let (http, args) = (web::client(), &replica.args);
    let address = args.advertise.unwrap_or(args.listen);
    let url = format!("http://{}/record/keyed.servers/{}", args.store, args.name);
    for sequence in 0_u64.. {
        let (leaving, started_ms) = {
            let state = replica.state.lock().unwrap();
            (state.leaving, state.started_ms)
        };
        let state = if leaving { "draining" } else { "ready" };
        let cold_ms = (started_ms + args.cold_ms).saturating_sub(unix_millis());
        let entry = json!({
            "service": args.pool, "address": address, "zone": args.domain, "version": "v1",
            "slots": args.slots, "state": state, "cold_remaining_ms": cold_ms,
            "sequence": sequence, "born": started_ms,
        });
        drop(web::call(&http, "PUT", &url, &[], entry.to_string()).await);
        tokio::time::sleep(REGISTRATION_INTERVAL).await;
    }
}

async fn handle(replica: Arc<Replica>, req: Req) -> Response<Body> {
    match (req.method.as_str(), req.path().as_slice()) {
        ("GET", ["stand-in", "runs"]) => {
            return web::json(StatusCode::OK, &replica.state.lock().unwrap().runs)
        }
        ("GET", ["stand-in", "cancelled"]) => {
            return web::json(StatusCode::OK, &replica.state.lock().unwrap().cancelled)
        }
        ("PUT", ["stand-in", "leave"]) => {
            replica.state.lock().unwrap().leaving = true;
            return web::json(StatusCode::OK, &"leaving");
        }
        _ => {}
    }
    let expected = req.header("x-expect-instance");
    if !expected.is_empty() && expected != replica.args.name {
        return replica.respond(
            &req,
            StatusCode::MISDIRECTED_REQUEST,
            false,
            full_body("elsewhere"),
        );
    }
    let Some(mut run) = replica.clone().begin(&req) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return replica.respond(&req, status, true, full_body("full"));
    };
    let fault = replica.fault(&req);
    match fault.as_str() {
        "refuse" => {
            run.is_complete = true;
            replica.state.lock().unwrap().runs.pop();
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return replica.respond(&req, status, true, full_body("full"));
        }
        "hang" => std::future::pending::<()>().await,
        "error" => {
            run.is_complete = true;
            return replica.respond(
                &req,
                StatusCode::INTERNAL_SERVER_ERROR,
                false,
                full_body("failed"),
            );
        }
        // Answers with a status that means that the request has not run, although it has.
        "busy" | "late" => {
            run.is_complete = true;
            let status = if fault == "busy" { 503 } else { 429 };
            let status = StatusCode::from_u16(status).expect("a status");
            return replica.respond(&req, status, false, full_body("run all the same"));
        }
        "other-request" => {
            run.is_complete = true;
            let mut answer = replica.respond(&req, StatusCode::OK, false, full_body("not yours"));
            answer
                .headers_mut()
                .insert("x-attempt-id", "other".parse().unwrap());
            return answer;
        }
        // Breaks off before the body and comes back as a new incarnation.
        "crash" => {
            replica.state.lock().unwrap().started_ms = unix_millis();
            return replica.respond(&req, StatusCode::OK, false, broken_body(""));
        }
        "reset" => return replica.respond(&req, StatusCode::OK, false, broken_body("begun")),
        // Crashes after the first bytes of its body.
        fault if fault.starts_with("crash-with-") => {
            replica.state.lock().unwrap().started_ms = unix_millis();
            let first = req
                .header("last-event-id")
                .parse()
                .map_or(0, |last: u64| last + 1);
            let event = format!("id: {first}\ndata: word-{first}\n\n");
            let text = match fault.trim_start_matches("crash-with-") {
                "half-an-event" => event[..event.len() / 2].to_string(),
                "a-comment" => ": begun\n\n".to_string(),
                _ => event,
            };
            return replica.respond(&req, StatusCode::OK, false, body_before_crash(text));
        }
        "slow" => tokio::time::sleep(Duration::from_millis(800)).await,
        _ => {}
    }
    tokio::time::sleep(Duration::from_millis(req.number("wait_ms", 0))).await;
    if !req.uri.path().contains("stream") {
        run.is_complete = true;
        let filler = ".".repeat(req.number("size", 0) as usize);
        let body = format!("{} answers {}{filler}", replica.args.name, req.uri);
        return replica.respond(&req, StatusCode::OK, false, full_body(body));
    }
    let first = req
        .header("last-event-id")
        .parse()
        .map_or(0, |last: u64| last + 1);
    let faults = Faults::parse(&fault, first > 0);
    let responder = replica.clone();
    let plan = EventPlan {
        first,
        count: req.number("events", EVENTS),
        interval: Duration::from_millis(req.number("interval_ms", EVENT_INTERVAL_MS)),
        echo: req.text("echo"),
    };
    let body = events(run, plan, faults);
    let mut answer = responder.respond(&req, StatusCode::OK, false, body);
    let media_type = "text/event-stream".parse().unwrap();
    answer.headers_mut().insert("content-type", media_type);
    answer
}

impl Replica {
    /// Records a request and takes a slot for it, or returns `None` when all are taken.
    fn begin(self: Arc<Self>, req: &Req) -> Option<Run> {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.args.slots {
            return None;
        }
        state.running += 1;
        // Survives a kill of this process.
        let (id, at_ms) = (req.header("x-attempt-id"), unix_millis());
        println!("ran at_ms={at_ms} id={id}");
        let headers: BTreeMap<_, _> = req
            .headers
            .iter()
            .filter(|(name, _)| *name != "x-deadline-ms" && *name != "content-length")
            .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes())))
            .collect();
        let deadline_ms: f64 = req.header("x-deadline-ms").parse().unwrap_or(0.0);
        let run = json!({
            "method": req.method.as_str(), "uri": req.uri.to_string(), "headers": headers,
            "body": String::from_utf8_lossy(&req.body), "patience_ms": deadline_ms,
        });
        state.runs.push(run);
        drop(state);
        Some(Run {
            replica: self,
            is_complete: false,
        })
    }

    /// Returns the fault that a request injects at this server, empty for none.
    fn fault(&self, req: &Req) -> String {
        let text = req.header("x-fault");
        let asked = text
            .split(',')
            .filter_map(|fault| fault.trim().split_once('='));
        let mut here = asked.filter(|(server, _)| *server == "*" || *server == self.args.name);
        here.next()
            .map_or(String::new(), |(_, fault)| fault.to_string())
    }

    /// Builds an answer with the headers that the platform's routers expect.
    fn respond(&self, req: &Req, status: StatusCode, not_run: bool, body: Body) -> Response<Body> {
        let mut answer = Response::builder()
            .status(status)
            .header("x-attempt-id", req.header("x-attempt-id"))
            .header("x-replica-id", &self.args.name)
            .header("keep-alive", "timeout=5");
        if let Some(slowness) = self.args.slowness {
            let running = self.state.lock().unwrap().running;
            let load = format!("{running},0,{},{slowness}", self.args.slots);
            answer = answer.header("x-replica-load", load);
        }
        if not_run {
            answer = answer.header("x-not-executed", "1");
        } else if status != StatusCode::MISDIRECTED_REQUEST {
            answer = answer.header("x-response-signature", format!("signed.{}", self.args.name));
        }
        answer.body(body).expect("a valid answer")
    }
}

/// Returns a body with its full content.
fn full_body(text: impl Into<Bytes>) -> Body {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that fails after `text`.
fn broken_body(text: &'static str) -> Body {
    let parts = [
        Ok(Frame::data(Bytes::from_static(text.as_bytes()))),
        Err(std::io::Error::other("broken off on purpose")),
    ];
    StreamBody::new(stream::iter(parts)).boxed_unsync()
}

/// Returns a body that breaks off soon after `text` was written.
fn body_before_crash(text: String) -> Body {
    let written = stream::iter([Ok(Frame::data(Bytes::from(text)))]);
    let crash = stream::once(async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        Err(std::io::Error::other("crashed on purpose"))
    });
    StreamBody::new(written.chain(crash)).boxed_unsync()
}

/// Injected faults of a stream, each with the number of the event at which it occurs.
struct Faults {
    /// The connection is reset within the event.
    cut: Option<u64>,
    /// Nothing is sent from the event on, while the connection stays open.
    mute: Option<u64>,
    /// The body ends regularly within the event.
    stop: Option<u64>,
}

impl Faults {
    /// Parses faults joined by `+`; `begin-cut-at-` applies to streams that are not resumed.
    fn parse(text: &str, resumed: bool) -> Self {
        let at = |prefix: &str| {
            let mut faults = text.split('+').filter_map(|f| f.strip_prefix(prefix));
            faults.next().and_then(|at| at.parse().ok())
        };
        Faults {
            cut: at("cut-at-").or(at("begin-cut-at-").filter(|_| !resumed)),
            mute: at("mute-at-"),
            stop: at("stop-at-"),
        }
    }
}

/// Events of a stream.
struct EventPlan {
    /// Number of the first event to send; the first one of a whole stream is 0.
    first: u64,
    /// Number of events of the whole stream.
    count: u64,
    interval: Duration,
    /// Text at the end of each event.
    echo: String,
}

/// Returns a body with the events of `plan`.
fn events(run: Run, plan: EventPlan, faults: Faults) -> Body {
    let Faults { cut, mute, stop } = faults;
    let first = plan.first;
    let plan = Arc::new(plan);
    let next = move |(mut run, number): (Run, u64), plan: Arc<EventPlan>| async move {
        tokio::time::sleep(plan.interval).await;
        if mute == Some(number) {
            std::future::pending::<()>().await;
        }
        if cut.is_some_and(|cut| number > cut) {
            let err = std::io::Error::other("broken off on purpose");
            return Some((Err(err), (run, number)));
        }
        if number >= plan.count || stop.is_some_and(|stop| number > stop) {
            run.is_complete = true;
            drop(run);
            return None;
        }
        let text = format!("id: {number}\ndata: word-{number}{}\n\n", plan.echo);
        let len = if cut == Some(number) || stop == Some(number) {
            text.len() / 2
        } else {
            text.len()
        };
        let bytes = Bytes::from(text).slice(..len);
        Some((Ok(Frame::data(bytes)), (run, number + 1)))
    };
    let frames = stream::unfold((run, first), move |state| next(state, plan.clone()));
    StreamBody::new(frames).boxed_unsync()
}
