//! A simulated model engine: streams answers to chats, with limited slots and a prefix cache.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{
    orders::Orders,
    web::{self, Req},
};

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name in the instance list.
    #[arg(long)]
    name: String,
    /// Pool that the engine belongs to.
    #[arg(long)]
    pool: String,
    /// Failure domain.
    #[arg(long)]
    domain: String,
    /// Address of the platform.
    #[arg(long)]
    platform: String,
    /// Requests that run at once; further ones wait.
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Number of chats whose prefix is cached.
    #[arg(long, default_value_t = 200)]
    cached_chats: usize,
    /// Time to the first token when the prefix is not cached, in milliseconds.
    #[arg(long, default_value_t = 60)]
    cold_ms: u64,
    /// Time to the first token when the prefix is cached, in milliseconds.
    #[arg(long, default_value_t = 10)]
    warm_ms: u64,
    /// Time between tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    token_ms: u64,
    /// Executes orders whatever their fencing number.
    #[arg(long)]
    ignores_fencing: bool,
}

#[derive(Default)]
struct Counts {
    in_flight: u32,
    /// Highest `in_flight` since the start.
    peak: u32,
    /// Requests whose prefix was cached.
    warm: u64,
    /// Requests whose prefix was not cached.
    cold: u64,
    /// Chats with a cached prefix, the least recently used one first.
    cache: VecDeque<String>,
}

struct Engine {
    args: Args,
    incarnation: u64,
    slots: Arc<Semaphore>,
    counts: Mutex<Counts>,
    orders: Arc<Orders>,
}

pub async fn run(args: Args) {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let listen = args.listen;
    let engine = Arc::new(Engine {
        incarnation: since.as_millis() as u64,
        slots: Arc::new(Semaphore::new(args.slots)),
        counts: Mutex::default(),
        orders: Orders::new(!args.ignores_fencing, &args.platform),
        args,
    });
    tokio::spawn(register(engine.clone()));
    web::serve(listen, engine, handle).await;
}

/// Registers this engine in the instance list, again and again so that it does not expire.
async fn register(engine: Arc<Engine>) {
    let http = web::client();
    let args = &engine.args;
    let url = format!("{}/v1/instances/{}?expires=1", args.platform, args.name);
    let instance = json!({
        "kind": "engine", "pool": args.pool, "address": args.listen,
        "failure_domain": args.domain, "state": "live", "incarnation": engine.incarnation,
    });
    loop {
        drop(web::call(&http, "PUT", &url, &[], instance.to_string()).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn handle(engine: Arc<Engine>, req: Req) -> Response<Body> {
    match (req.method.as_str(), req.path().as_slice()) {
        ("POST", ["v1", "chat", "completions"]) => chat(engine, &req).await,
        ("GET", ["orders"]) => web::json(StatusCode::OK, &engine.orders.report()),
        ("POST", ["orders"]) => engine.orders.clone().receive(&req).await,
        ("POST", ["orders", "hold"]) => engine.orders.hold(&req),
        ("GET", ["load"]) => web::json(StatusCode::OK, &engine.load()),
        _ => web::json(StatusCode::NOT_FOUND, &"no such path"),
    }
}

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    messages: Value,
}

fn default_tokens() -> u64 {
    8
}

/// Delay between a prompt with `CRASH` and `LATER` and the exit of the process.
const CRASH_DELAY_MS: u64 = 400;

/// A request in flight; dropped when its answer ends or the caller cancels it.
struct Running {
    engine: Arc<Engine>,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.counts.lock().unwrap().in_flight -= 1;
    }
}

async fn chat(engine: Arc<Engine>, req: &Req) -> Response<Body> {
    let chat: ChatRequest = match req.json() {
        Ok(chat) => chat,
        Err(refusal) => return *refusal,
    };
    let prompt = chat.messages.to_string();
    if prompt.contains("CRASH") {
        let pause = if prompt.contains("LATER") {
            CRASH_DELAY_MS
        } else {
            0
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        std::process::exit(101);
    }
    if prompt.contains("REFUSE") {
        return web::json(StatusCode::SERVICE_UNAVAILABLE, &"refused");
    }
    let mut running = engine.start();
    if prompt.contains("SILENT") {
        std::future::pending::<()>().await;
    }
    running._slot = engine.slots.clone().acquire_owned().await.ok();
    engine.orders.count_request(&req.header("x-version"));
    let warm = engine.use_cache(&req.header("x-chat"));
    let first = if warm {
        engine.args.warm_ms
    } else {
        engine.args.cold_ms
    };
    tokio::time::sleep(Duration::from_millis(first)).await;
    let id = req.header("x-request-id");
    if chat.stream {
        let last = req.header("last-event-id").parse::<u64>().ok();
        // On a prompt with `FORGET`, the engine starts the answer again instead of resuming it.
        let next = match last {
            Some(last) if !prompt.contains("FORGET") => last + 1,
            _ => 0,
        };
        let fault = match last {
            None => Fault::of(&prompt),
            Some(_) => Fault::None,
        };
        let end = chat.max_tokens;
        stream_tokens(Tokens {
            running,
            id,
            warm,
            next,
            end,
            fault,
        })
    } else {
        let pause = Duration::from_millis(engine.args.token_ms * chat.max_tokens);
        tokio::time::sleep(pause).await;
        let content: String = (0..chat.max_tokens).map(|n| token(&id, n)).collect();
        let message = json!({ "role": "assistant", "content": content });
        let answer = json!({
            "id": format!("chatcmpl-{id}"), "object": "chat.completion",
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": usage(warm),
        });
        web::json(StatusCode::OK, &answer)
    }
}

/// Returns a token that names its request, so that callers detect mixed answers.
fn token(id: &str, number: u64) -> String {
    format!("{id}/{number} ")
}

fn usage(warm: bool) -> Value {
    json!({ "prompt_tokens_details": { "cached_tokens": if warm { 100 } else { 0 } } })
}

/// Number of the token at which a faulty streamed answer fails.
const FAULTY_TOKEN: u64 = 3;

/// Fault of a streamed answer, requested by a word in the prompt.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The connection breaks before the token.
    Cut,
    /// The stream stays open, but sends nothing more.
    Stall,
    /// The token of another answer is sent.
    Foreign,
    /// The token is left out.
    Gap,
    /// Comments are sent before and within the token; no fault by itself.
    Comment,
    /// Comments are sent in place of the token, without end.
    Heartbeat,
}

impl Fault {
    fn of(prompt: &str) -> Self {
        let faults = [
            ("CUT", Fault::Cut),
            ("STALL", Fault::Stall),
            ("FOREIGN", Fault::Foreign),
            ("GAP", Fault::Gap),
            ("COMMENT", Fault::Comment),
            ("HEARTBEAT", Fault::Heartbeat),
        ];
        let asked = faults.iter().find(|(word, _)| prompt.contains(word));
        asked.map_or(Fault::None, |(_, fault)| *fault)
    }
}

/// State of a streamed answer.
struct Tokens {
    running: Running,
    id: String,
    warm: bool,
    next: u64,
    end: u64,
    fault: Fault,
}

impl Tokens {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, std::io::Error>, Self)> {
        if self.next > self.end {
            return None;
        }
        let pause = self.running.engine.args.token_ms;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let faulty = self.next == FAULTY_TOKEN;
        let mut id = self.id.clone();
        match self.fault {
            Fault::Cut if faulty => {
                self.next = self.end + 1;
                return Some((Err(std::io::Error::other("broken off")), self));
            }
            Fault::Stall if faulty => std::future::pending().await,
            Fault::Foreign if faulty => id = "another".into(),
            Fault::Gap if faulty => self.next += 1,
            Fault::Heartbeat if faulty => {
                return Some((Ok(Frame::data(Bytes::from_static(b": alive\n\n"))), self));
            }
            _ => {}
        }
        let mut event = self.event(&id);
        if self.fault == Fault::Comment {
            event.insert_str(0, ": alive\n\n: token\n");
        }
        self.next += 1;
        Some((Ok(Frame::data(Bytes::from(event))), self))
    }

    fn event(&self, id: &str) -> String {
        let number = self.next;
        if number == self.end {
            return format!("id: {number}\ndata: [DONE]\n\n");
        }
        let chunk = json!({
            "id": format!("chatcmpl-{id}"), "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": { "content": token(id, number) } }],
            "usage": usage(self.warm),
        });
        format!("id: {number}\ndata: {chunk}\n\n")
    }
}

fn stream_tokens(tokens: Tokens) -> Response<Body> {
    let events = stream::unfold(tokens, Tokens::next);
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(StreamBody::new(events).boxed_unsync())
        .expect("a valid answer")
}

impl Engine {
    fn start(self: &Arc<Self>) -> Running {
        let mut counts = self.counts.lock().unwrap();
        counts.in_flight += 1;
        counts.peak = counts.peak.max(counts.in_flight);
        Running {
            engine: self.clone(),
            _slot: None,
        }
    }

    /// Marks `chat` as the most recently used in the cache; returns whether it was cached.
    fn use_cache(&self, chat: &str) -> bool {
        let mut counts = self.counts.lock().unwrap();
        let at = counts.cache.iter().position(|cached| cached == chat);
        let warm = at.is_some();
        at.map(|at| counts.cache.remove(at));
        counts.cache.push_back(chat.to_string());
        if counts.cache.len() > self.args.cached_chats {
            counts.cache.pop_front();
        }
        if warm {
            counts.warm += 1;
        } else {
            counts.cold += 1;
        }
        warm
    }

    fn load(&self) -> Value {
        let counts = self.counts.lock().unwrap();
        json!({
            "name": self.args.name, "incarnation": self.incarnation,
            "in_flight": counts.in_flight, "peak": counts.peak,
            "warm": counts.warm, "cold": counts.cold,
        })
    }
}
