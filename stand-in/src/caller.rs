//! Load generator: callers that continue chats and send bookings, with a limit on the
//! duration and on the number of requests.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::{
    report::Report,
    web::{self, Http, SendError},
};

/// Upper bound on the requests of one run.
const MAX_REQUESTS: u64 = 1_000_000;

/// Upper bound on the attempts at one request.
const MAX_ATTEMPTS: u32 = 4;

/// Upper bound on the rounds of one request.
///
/// A round looks up an address and sends the request there. A failed lookup or a refused
/// connection also uses up a round, but is not an attempt.
const MAX_ROUNDS: u32 = 10;

#[derive(clap::Args)]
pub struct Args {
    /// Routers that are asked where to send a request, as HOST:PORT.
    #[arg(long, value_delimiter = ',', required_unless_present = "direct")]
    routers: Vec<String>,
    /// Sends chats straight to the engines, without a router.
    #[arg(long)]
    direct: bool,
    /// Team of the callers.
    #[arg(long, default_value = "kerb")]
    team: String,
    /// Chat service that receives the chats.
    #[arg(long, default_value = "planner")]
    model: String,
    /// Plain service that receives the bookings.
    #[arg(long, default_value = "trade")]
    service: String,
    /// Requests started per second.
    #[arg(long, default_value_t = 50)]
    rate: u64,
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of chats among which the requests are divided.
    #[arg(long, default_value_t = 100)]
    chats: u64,
    /// Percentage of requests that are bookings.
    #[arg(long, default_value_t = 20)]
    bookings: u32,
    /// Sends bookings without an idempotency key, so that routers do not claim them.
    #[arg(long)]
    keyless: bool,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 8)]
    tokens: u64,
    /// Seed of the random choices of chats and bookings.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Engines whose load is sampled, as HOST:PORT.
    #[arg(long, value_delimiter = ',')]
    engines: Vec<String>,
    /// Servers whose counts of executed bookings are read at the end, as HOST:PORT.
    #[arg(long, value_delimiter = ',')]
    servers: Vec<String>,
}

struct Caller {
    args: Args,
    http: Http,
    report: Mutex<Report>,
    /// Newest hint of each chat.
    hints: Mutex<HashMap<u64, String>>,
    /// Cached addresses of each chat and the time at which they expire.
    addresses: Mutex<HashMap<u64, (Vec<String>, Instant)>>,
    /// Samples of the load of the busiest engine divided by the mean load.
    skews: Mutex<Vec<f64>>,
}

/// Outcome of one attempt.
enum Outcome {
    Answered,
    /// No connection could be opened, so this does not count as an attempt.
    Unsent(String),
    Refused(String),
    Broken(String),
}

pub async fn run(args: Args) {
    let caller = Arc::new(Caller {
        http: web::client(),
        report: Mutex::new(Report::new()),
        hints: Mutex::default(),
        addresses: Mutex::default(),
        skews: Mutex::default(),
        args,
    });
    let sampler = tokio::spawn(sample_skew(caller.clone()));
    start_requests(&caller).await;
    sampler.abort();
    let doubled = count_repeated_bookings(&caller).await;
    let skews = caller.skews.lock().unwrap().clone();
    println!("{}", caller.report.lock().unwrap().summary(doubled, skews));
}

async fn start_requests(caller: &Arc<Caller>) {
    let mut rng = Pcg64Mcg::seed_from_u64(caller.args.seed);
    let total = (caller.args.rate * caller.args.seconds).min(MAX_REQUESTS);
    let mut period = tokio::time::interval(Duration::from_secs(1) / caller.args.rate as u32);
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..total {
        period.tick().await;
        let chat = rng.random_range(0..caller.args.chats);
        let booking = rng.random_range(0..100) < caller.args.bookings;
        requests.spawn(run_request(caller.clone(), number, chat, booking));
    }
    while requests.join_next().await.is_some() {}
}

async fn run_request(caller: Arc<Caller>, number: u64, chat: u64, booking: bool) {
    let requested_at = Instant::now();
    caller.report.lock().unwrap().sent += 1;
    let id = format!("req-{}-{number}", caller.args.seed);
    let mut outcome = Outcome::Broken("not tried".into());
    let mut key = None;
    let mut attempt = 1;
    for round in 1..=MAX_ROUNDS {
        let Some(address) = caller.address(chat, booking, round, &mut key).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        outcome = if booking {
            let key = key.as_deref().unwrap_or_default();
            caller.book(&address, &id, attempt, key).await
        } else {
            caller
                .chat(&address, &id, attempt, chat, requested_at)
                .await
        };
        if matches!(outcome, Outcome::Unsent(_)) {
            caller.forget_address(chat, &address);
            continue;
        }
        if matches!(outcome, Outcome::Answered) || attempt == MAX_ATTEMPTS {
            break;
        }
        caller.addresses.lock().unwrap().remove(&chat);
        tokio::time::sleep(Duration::from_millis(100 << attempt)).await;
        attempt += 1;
    }
    let mut report = caller.report.lock().unwrap();
    match outcome {
        Outcome::Answered => report.answered += 1,
        Outcome::Unsent(reason) | Outcome::Refused(reason) | Outcome::Broken(reason) => {
            report.refused += 1;
            *report.reasons.entry(reason).or_default() += 1;
        }
    }
}

impl From<SendError> for Outcome {
    fn from(err: SendError) -> Self {
        match err {
            SendError::Unsent(text) => Outcome::Unsent(text),
            SendError::Sent(text) => Outcome::Broken(text),
        }
    }
}

impl Caller {
    /// Removes one cached address of a chat, so that the next one is used.
    fn forget_address(&self, chat: u64, address: &str) {
        if let Some((kept, _)) = self.addresses.lock().unwrap().get_mut(&chat) {
            kept.retain(|other| other != address);
        }
    }

    /// Returns the address to send a request of a chat to, from the cache or from a router.
    ///
    /// Sets `key` to the ticket that the router issues for a booking.
    async fn address(
        &self,
        chat: u64,
        booking: bool,
        round: u32,
        key: &mut Option<String>,
    ) -> Option<String> {
        if self.args.direct {
            let engine = chat as usize % self.args.engines.len();
            return self.args.engines.get(engine).cloned();
        }
        let needs_key = booking && key.is_none();
        match self.cached_address(chat) {
            Some(address) if !needs_key => return Some(address),
            _ => {}
        }
        let answer = self.look_up(chat, booking, round).await?;
        if needs_key {
            *key = answer["ticket"].as_str().map(str::to_string);
        }
        self.cache_addresses(chat, &answer)
    }

    fn cached_address(&self, chat: u64) -> Option<String> {
        let kept = self.addresses.lock().unwrap();
        let fresh = kept.get(&chat).filter(|(_, until)| *until > Instant::now());
        fresh.and_then(|(addresses, _)| addresses.first().cloned())
    }

    /// Asks a router where to connect, a different one in each round.
    async fn look_up(&self, chat: u64, booking: bool, round: u32) -> Option<Value> {
        let count = self.args.routers.len();
        let router = &self.args.routers[(chat as usize + round as usize) % count];
        let service = if booking {
            &self.args.service
        } else {
            &self.args.model
        };
        let url = format!(
            "http://{router}/v1/route?team={}&service={service}&chat=chat-{chat}",
            self.args.team
        );
        let hint = self.hint(chat);
        let headers = [("ebonyspur-hint", hint.as_str())];
        let call = web::call(&self.http, "GET", &url, &headers, String::new());
        let call = tokio::time::timeout(Duration::from_secs(2), call)
            .await
            .ok()?;
        Some(call.ok()?.1)
    }

    /// Caches the addresses of an answer until they expire and returns the first one.
    fn cache_addresses(&self, chat: u64, answer: &Value) -> Option<String> {
        let addresses = answer["addresses"].as_array()?.iter();
        let addresses = addresses.filter_map(|address| address["address"].as_str());
        let addresses: Vec<_> = addresses.map(str::to_string).collect();
        let valid = Duration::from_secs(answer["valid_seconds"].as_u64()?);
        let first = addresses.first().cloned();
        let entry = (addresses, Instant::now() + valid);
        self.addresses.lock().unwrap().insert(chat, entry);
        first
    }

    fn hint(&self, chat: u64) -> String {
        self.hints
            .lock()
            .unwrap()
            .get(&chat)
            .cloned()
            .unwrap_or_default()
    }

    async fn chat(
        &self,
        address: &str,
        id: &str,
        attempt: u32,
        chat: u64,
        requested_at: Instant,
    ) -> Outcome {
        let hint = self.hint(chat);
        let (attempt, name) = (attempt.to_string(), format!("chat-{chat}"));
        let headers = [
            ("content-type", "application/json"),
            ("ebonyspur-team", self.args.team.as_str()),
            ("ebonyspur-chat", name.as_str()),
            ("ebonyspur-hint", hint.as_str()),
            ("ebonyspur-attempt", attempt.as_str()),
            ("x-request-id", id),
        ];
        let body = json!({
            "model": self.args.model, "stream": true, "max_tokens": self.args.tokens,
            "messages": [{ "role": "user", "content": format!("a bathroom, {id}") }],
        });
        let url = format!("http://{address}/v1/chat/completions");
        let started = Instant::now();
        let answer = web::send(&self.http, "POST", &url, &headers, body.to_string()).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(err) => return Outcome::from(err),
        };
        if !answer.status().is_success() {
            return Outcome::Refused(answer.status().to_string());
        }
        let next_hint = answer.headers().get("ebonyspur-hint").cloned();
        let mut body = answer.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.report.lock().unwrap().broken += 1;
                return Outcome::Broken("broken off".into());
            };
            if text.is_empty() {
                self.report
                    .lock()
                    .unwrap()
                    .first_token(requested_at, started);
            }
            text += &String::from_utf8_lossy(frame.data_ref().unwrap_or(&bytes::Bytes::new()));
        }
        if let Some(hint) = next_hint.and_then(|hint| hint.to_str().ok().map(str::to_string)) {
            self.hints.lock().unwrap().insert(chat, hint);
        }
        self.check_answer(id, &text, !hint.is_empty())
    }

    /// Checks that the answer has all tokens of this request, each once and in order.
    fn check_answer(&self, id: &str, text: &str, returned: bool) -> Outcome {
        let expected: String = (0..self.args.tokens)
            .map(|n| format!("{id}/{n} "))
            .collect();
        let chunks = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks: Vec<Value> = chunks
            .filter_map(|data| serde_json::from_str(data).ok())
            .collect();
        let content = |chunk: &Value| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_string)
        };
        let received: String = chunks.iter().filter_map(content).collect();
        let cached =
            |chunk: &Value| chunk["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
        let warm = chunks.first().and_then(cached).unwrap_or(0) > 0;
        let mut report = self.report.lock().unwrap();
        report.returned += u64::from(returned);
        report.warm += u64::from(returned && warm);
        if received == expected && text.ends_with("data: [DONE]\n\n") {
            report.whole += 1;
        } else {
            report.mixed += 1;
        }
        Outcome::Answered
    }

    async fn book(&self, address: &str, id: &str, attempt: u32, key: &str) -> Outcome {
        let attempt = attempt.to_string();
        let headers = [
            ("ebonyspur-team", self.args.team.as_str()),
            ("ebonyspur-attempt", attempt.as_str()),
            ("idempotency-key", key),
            ("x-request-id", id),
        ];
        let url = format!(
            "http://{address}/v1/services/{}/bookings",
            self.args.service
        );
        let headers = match self.args.keyless {
            true => &headers[..2],
            false => &headers[..],
        };
        let started = Instant::now();
        let answer = web::call(&self.http, "POST", &url, headers, String::new()).await;
        self.report.lock().unwrap().booking(started);
        match answer {
            Err(err) => Outcome::from(err),
            Ok((status, _)) if !status.is_success() => Outcome::Refused(status.to_string()),
            Ok((_, answer)) => {
                let matches_key = answer["booked"] == json!(key);
                let mut report = self.report.lock().unwrap();
                report.whole += u64::from(matches_key);
                report.mixed += u64::from(!matches_key);
                Outcome::Answered
            }
        }
    }
}

/// Samples the load of the busiest engine divided by the mean, as the engines count it.
async fn sample_skew(caller: Arc<Caller>) {
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut loads = Vec::new();
        for engine in &caller.args.engines {
            let url = format!("http://{engine}/load");
            let call = web::call(&caller.http, "GET", &url, &[], String::new()).await;
            loads.extend(call.ok().and_then(|(_, load)| load["in_flight"].as_f64()));
        }
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean >= 1.0 {
            let busiest = loads.iter().copied().fold(0.0, f64::max);
            caller.skews.lock().unwrap().push(busiest / mean);
        }
    }
}

/// Returns the number of bookings that the servers ran more than once.
async fn count_repeated_bookings(caller: &Caller) -> u64 {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for server in &caller.args.servers {
        let url = format!("http://{server}/runs");
        let Ok((_, counts)) = web::call(&caller.http, "GET", &url, &[], String::new()).await else {
            continue;
        };
        for (key, count) in counts.as_object().into_iter().flatten() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    // All bookings without a key are counted under the empty key.
    runs.remove("");
    runs.values().filter(|count| **count > 1).count() as u64
}
