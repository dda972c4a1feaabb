//! A backend server of the users' platform: a transactional server or a model engine.
//!
//! Paths that contain `stream` are answered as a model engine does, with numbered events.
//! A request asks for a fault with the header `x-fault: SERVER=FAULT`, so that it strikes
//! only at that server; `*` stands for any.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use serde_json::json;

use crate::web::{self, Req};

/// Events of a stream.
const EVENTS: u64 = 6;

/// Time between two events.
const STEP: Duration = Duration::from_millis(20);

/// Time between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name under which it registers.
    #[arg(long)]
    name: String,
    /// Pool.
    #[arg(long)]
    pool: String,
    /// Address of the store.
    #[arg(long)]
    store: SocketAddr,
    /// Requests worked on at once; more are refused.
    #[arg(long, default_value_t = 6)]
    slots: usize,
}

struct Replica {
    name: String,
    slots: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: usize,
    leaving: bool,
    /// Requests that began to run here, in order, with what the server was told.
    runs: Vec<serde_json::Value>,
    /// Connections that ended before their answer.
    cancelled: usize,
}

/// A request that runs, until it is dropped.
struct Run {
    replica: Arc<Replica>,
    done: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut state = self.replica.state.lock().unwrap();
        state.running -= 1;
        state.cancelled += usize::from(!self.done);
    }
}

pub async fn run(args: Args) {
    let replica = Arc::new(Replica {
        name: args.name.clone(),
        slots: args.slots,
        state: Mutex::default(),
    });
    let listen = args.listen;
    tokio::spawn(register(replica.clone(), args));
    web::serve(listen, replica, handle).await;
}

async fn register(replica: Arc<Replica>, args: Args) {
    let http = web::client();
    let url = format!("http://{}/record/keyed.servers/{}", args.store, args.name);
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = since.expect("a time after 1970").as_millis() as u64;
    for sequence in 0_u64.. {
        let leaving = replica.state.lock().unwrap().leaving;
        let state = if leaving { "draining" } else { "ready" };
        let entry = json!({
            "service": args.pool, "address": args.listen, "zone": "zone-1", "version": "v1",
            "slots": args.slots, "state": state, "cold_remaining_ms": 0,
            "sequence": sequence, "born": born,
        });
        drop(web::call(&http, "PUT", &url, &[], entry.to_string()).await);
        tokio::time::sleep(HEARTBEAT).await;
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
    if !expected.is_empty() && expected != replica.name {
        return replica.head(
            &req,
            StatusCode::MISDIRECTED_REQUEST,
            false,
            whole("elsewhere"),
        );
    }
    let Some(mut run) = replica.clone().begin(&req) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return replica.head(&req, status, true, whole("full"));
    };
    let fault = replica.fault(&req);
    match fault.as_str() {
        "refuse" => {
            run.done = true;
            replica.state.lock().unwrap().runs.pop();
            return replica.head(&req, StatusCode::SERVICE_UNAVAILABLE, true, whole("full"));
        }
        "hang" => std::future::pending::<()>().await,
        "error" => {
            run.done = true;
            return replica.head(
                &req,
                StatusCode::INTERNAL_SERVER_ERROR,
                false,
                whole("failed"),
            );
        }
        // Statuses that say that nothing has run, though it has.
        "busy" | "late" => {
            run.done = true;
            let status = if fault == "busy" { 503 } else { 429 };
            let status = StatusCode::from_u16(status).expect("a status");
            return replica.head(&req, status, false, whole("run all the same"));
        }
        "other-request" => {
            run.done = true;
            let mut answer = replica.head(&req, StatusCode::OK, false, whole("not yours"));
            answer
                .headers_mut()
                .insert("x-attempt-id", "other".parse().unwrap());
            return answer;
        }
        "reset" => return replica.head(&req, StatusCode::OK, false, broken("begun")),
        "slow" => tokio::time::sleep(Duration::from_millis(800)).await,
        _ => {}
    }
    if !req.uri.path().contains("stream") {
        run.done = true;
        let body = format!("{} answers {}", replica.name, req.uri);
        return replica.head(&req, StatusCode::OK, false, whole(body));
    }
    let first = req
        .header("last-event-id")
        .parse()
        .map_or(0, |last: u64| last + 1);
    let faults = Faults::parse(&fault, first > 0);
    let head = replica.clone();
    let body = events(run, first, faults);
    let mut answer = head.head(&req, StatusCode::OK, false, body);
    let media_type = "text/event-stream".parse().unwrap();
    answer.headers_mut().insert("content-type", media_type);
    answer
}

impl Replica {
    /// Begins to run a request unless all slots are taken.
    fn begin(self: Arc<Self>, req: &Req) -> Option<Run> {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.slots {
            return None;
        }
        state.running += 1;
        let told: BTreeMap<_, _> = req
            .headers
            .iter()
            .filter(|(name, _)| *name != "x-deadline-ms" && *name != "content-length")
            .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes())))
            .collect();
        let patience: f64 = req.header("x-deadline-ms").parse().unwrap_or(0.0);
        let run = json!({
            "method": req.method.as_str(), "uri": req.uri.to_string(), "headers": told,
            "body": String::from_utf8_lossy(&req.body), "patience_ms": patience,
        });
        state.runs.push(run);
        drop(state);
        Some(Run {
            replica: self,
            done: false,
        })
    }

    /// Returns the fault that a request asks of this server.
    fn fault(&self, req: &Req) -> String {
        let text = req.header("x-fault");
        let asked = text
            .split(',')
            .filter_map(|fault| fault.trim().split_once('='));
        let mut here = asked.filter(|(server, _)| *server == "*" || *server == self.name);
        here.next()
            .map_or(String::new(), |(_, fault)| fault.to_string())
    }

    fn head(&self, req: &Req, status: StatusCode, not_run: bool, body: Body) -> Response<Body> {
        let mut answer = Response::builder()
            .status(status)
            .header("x-attempt-id", req.header("x-attempt-id"))
            .header("x-replica-id", &self.name)
            .header("keep-alive", "timeout=5");
        if not_run {
            answer = answer.header("x-not-executed", "1");
        } else if status != StatusCode::MISDIRECTED_REQUEST {
            answer = answer.header("x-response-signature", format!("signed.{}", self.name));
        }
        answer.body(body).expect("a valid answer")
    }
}

fn whole(text: impl Into<Bytes>) -> Body {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that breaks off after `text`.
fn broken(text: &'static str) -> Body {
    let parts = [
        Ok(Frame::data(Bytes::from_static(text.as_bytes()))),
        Err(std::io::Error::other("broken off on purpose")),
    ];
    StreamBody::new(stream::iter(parts)).boxed_unsync()
}

/// Numbers of the events at which a stream fails.
struct Faults {
    /// It is reset within the event.
    cut: Option<u64>,
    /// It is silent from the event on.
    mute: Option<u64>,
    /// It ends within the event, as if that were its end.
    stop: Option<u64>,
}

impl Faults {
    /// Parses faults joined by `+`; `begin-cut-at-` spares streams that are continued.
    fn parse(text: &str, continued: bool) -> Self {
        let at = |prefix: &str| {
            let mut faults = text.split('+').filter_map(|f| f.strip_prefix(prefix));
            faults.next().and_then(|at| at.parse().ok())
        };
        Faults {
            cut: at("cut-at-").or(at("begin-cut-at-").filter(|_| !continued)),
            mute: at("mute-at-"),
            stop: at("stop-at-"),
        }
    }
}

/// Returns the events from number `first` on.
fn events(run: Run, first: u64, faults: Faults) -> Body {
    let Faults { cut, mute, stop } = faults;
    let frames = stream::unfold((run, first), move |(mut run, number)| async move {
        tokio::time::sleep(STEP).await;
        if mute == Some(number) {
            std::future::pending::<()>().await;
        }
        if cut.is_some_and(|cut| number > cut) {
            let err = std::io::Error::other("broken off on purpose");
            return Some((Err(err), (run, number)));
        }
        if number > EVENTS || stop.is_some_and(|stop| number > stop) {
            run.done = true;
            drop(run);
            return None;
        }
        let text = format!("id: {number}\ndata: word-{number}\n\n");
        let len = if cut == Some(number) || stop == Some(number) {
            text.len() / 2
        } else {
            text.len()
        };
        let bytes = Bytes::from(text).slice(..len);
        Some((Ok(Frame::data(bytes)), (run, number + 1)))
    });
    StreamBody::new(frames).boxed_unsync()
}
