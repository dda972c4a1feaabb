//! A simulated store of the users' platform: topics with records, with injected faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use base64::{prelude::BASE64_STANDARD, Engine};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;

use crate::web::{self, Req};

/// Time without a renewal after which the entry of a server is removed.
const REGISTRATION_TTL: Duration = Duration::from_millis(1_500);

/// Topic in which servers register.
const SERVERS_TOPIC: &str = "keyed.servers";

/// Size of a read response in KB, unless the call asks for another one.
const DEFAULT_READ_KB: u64 = 1_024;

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

/// Header with the era of the store in every answer.
const ERA_HEADER: &str = "store-era";

/// A topic, with a single partition.
#[derive(Clone, Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Bytes>,
    /// Newest value of each key, with its offset.
    newest: BTreeMap<String, (Bytes, u64)>,
    /// Number of writes of each key by a server, including those that changed nothing.
    registrations: BTreeMap<String, u64>,
}

/// Injected faults; `PUT /faults` replaces all of them.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct Faults {
    /// Calls are answered with 503.
    down: bool,
    /// Calls are never answered.
    silent: bool,
    /// Appends take effect, but are not answered.
    lose_answers: bool,
    /// Delay added to each answer, in milliseconds.
    slow_ms: u64,
}

type Topics = BTreeMap<String, Topic>;

#[derive(Default)]
struct Store {
    topics: Mutex<Topics>,
    /// Contents that the store comes back with.
    copy: Mutex<Topics>,
    /// Number of times that the store came back from the copy.
    era: AtomicU64,
    faults: Mutex<Faults>,
    /// Number of calls, without those that control the simulator.
    calls: Mutex<u64>,
    /// Wakes waiting reads after an append or when the store comes back from the copy.
    appended: Notify,
}

pub async fn run(args: Args) {
    web::serve(args.listen, Arc::new(Store::default()), handle).await;
}

async fn handle(store: Arc<Store>, req: Req) -> Response<Body> {
    let mut answer = answer(&store, req).await;
    let era = store.era.load(Ordering::SeqCst);
    answer.headers_mut().insert(ERA_HEADER, era.into());
    answer
}

async fn answer(store: &Arc<Store>, req: Req) -> Response<Body> {
    match (req.method.as_str(), req.path().as_slice()) {
        ("PUT", ["faults"]) => return store.set_faults(&req),
        ("PUT", ["forget", topic]) => return store.forget(topic),
        ("PUT", ["record", topic, key @ ..]) => {
            return store.put(topic, &key.join("/"), req.body.clone())
        }
        ("PUT", ["copy"]) => return store.copy(),
        ("PUT", ["restore"]) => return store.restore(),
        ("GET", ["calls"]) => return web::json(StatusCode::OK, &*store.calls.lock().unwrap()),
        _ => {}
    }
    *store.calls.lock().unwrap() += 1;
    let faults = *store.faults.lock().unwrap();
    if faults.silent {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return web::json(StatusCode::SERVICE_UNAVAILABLE, &"down");
    }
    let topic = req.text("topic");
    match (req.method.as_str(), req.path().as_slice()) {
        ("POST", ["-", "log-append"]) => {
            let answer = store.append(&topic, &req.body);
            if faults.lose_answers {
                std::future::pending::<()>().await;
            }
            answer
        }
        ("GET", ["-", "log-read"]) => {
            let (from, wait) = (req.number("from", 0), req.number("wait_ms", 0));
            let max_bytes = req.number("max_read_kb", DEFAULT_READ_KB) as usize * 1_024;
            let wait = Duration::from_millis(wait);
            store.read(&topic, from, max_bytes, wait).await
        }
        ("GET", ["-", "log-newest"]) => store.newest(&topic),
        _ => web::json(StatusCode::NOT_FOUND, &"no such call"),
    }
}

impl Store {
    fn set_faults(&self, req: &Req) -> Response<Body> {
        match req.json::<Faults>() {
            Ok(faults) => *self.faults.lock().unwrap() = faults,
            Err(refusal) => return *refusal,
        }
        web::json(StatusCode::OK, &"set")
    }

    /// Drops the records of a topic, but keeps the newest value of each key.
    fn forget(&self, topic: &str) -> Response<Body> {
        if let Some(topic) = self.topics.lock().unwrap().get_mut(topic) {
            topic.first += topic.records.len() as u64 + 1;
            topic.records.clear();
        }
        web::json(StatusCode::OK, &"forgotten")
    }

    /// Remembers the present contents.
    fn copy(&self) -> Response<Body> {
        *self.copy.lock().unwrap() = self.topics.lock().unwrap().clone();
        web::json(StatusCode::OK, &"copied")
    }

    /// Comes back with the contents of the copy; what was written since is gone.
    ///
    /// Entries of servers are removed unless their servers renew them in time.
    fn restore(self: &Arc<Self>) -> Response<Body> {
        let mut topics = self.topics.lock().unwrap();
        let mut restored = self.copy.lock().unwrap().clone();
        for (name, topic) in &mut restored {
            if let Some(before) = topics.get(name) {
                topic.registrations = before.registrations.clone();
            }
        }
        *topics = restored;
        self.era.fetch_add(1, Ordering::SeqCst);
        if let Some(topic) = topics.get(SERVERS_TOPIC) {
            for key in topic.newest.keys() {
                let registrations = topic.registrations.get(key).copied().unwrap_or_default();
                self.remove_unless_renewed(key, registrations);
            }
        }
        self.appended.notify_waiters();
        web::json(StatusCode::OK, &"restored")
    }

    /// Removes the entry of a server after [`REGISTRATION_TTL`] unless it is written before.
    fn remove_unless_renewed(self: &Arc<Self>, key: &str, registrations: u64) {
        let (store, key) = (self.clone(), key.to_string());
        tokio::spawn(async move {
            tokio::time::sleep(REGISTRATION_TTL).await;
            let is_silent = store
                .topics
                .lock()
                .unwrap()
                .get(SERVERS_TOPIC)
                .is_some_and(|t| {
                    t.newest.contains_key(&key)
                        && t.registrations.get(&key).copied().unwrap_or_default() == registrations
                });
            if is_silent {
                store.append_record(SERVERS_TOPIC, encode_record(&key, b""));
            }
        });
    }

    /// Writes the record of a key, as the operator or a server does; an empty value removes
    /// the key.
    ///
    /// A record of a server that differs from the newest one in its sequence number only is
    /// not appended; it only renews the registration.
    fn put(self: &Arc<Self>, topic: &str, key: &str, value: Bytes) -> Response<Body> {
        let registers = topic == SERVERS_TOPIC && !value.is_empty();
        if !(registers && self.only_renews(topic, key, &value)) {
            self.append_record(topic, encode_record(key, &value));
        }
        if registers {
            let registrations = self.count_registration(topic, key);
            self.remove_unless_renewed(key, registrations);
        }
        web::json(StatusCode::OK, &"written")
    }

    /// Returns whether `value` differs from the newest value in its sequence number only.
    fn only_renews(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let without_sequence = |value: &[u8]| {
            let mut value: serde_json::Value = serde_json::from_slice(value).ok()?;
            value.as_object_mut()?.remove("sequence");
            Some(value)
        };
        let topics = self.topics.lock().unwrap();
        let known = topics.get(topic).and_then(|topic| topic.newest.get(key));
        known.is_some_and(|(known, _)| without_sequence(known) == without_sequence(value))
    }

    /// Counts a registration and returns the new count.
    fn count_registration(&self, topic: &str, key: &str) -> u64 {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_string()).or_default();
        let registrations = topic.registrations.entry(key.to_string()).or_default();
        *registrations += 1;
        *registrations
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Response<Body> {
        while let Some((len, rest)) = body.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            let Some((record, rest)) = rest.split_at_checked(len) else {
                return web::json(StatusCode::BAD_REQUEST, &"a record is cut off");
            };
            self.append_record(topic, Bytes::copy_from_slice(record));
            body = rest;
        }
        let topics = self.topics.lock().unwrap();
        let end = topics.get(topic).map_or(0, Topic::end);
        web::json(StatusCode::OK, &json!({ "offset": end, "end_offset": end }))
    }

    fn append_record(&self, topic: &str, record: Bytes) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_string()).or_default();
        let end = topic.end();
        let key_len = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=key_len]).into_owned();
        if record.len() == key_len + 1 {
            topic.newest.remove(&key);
        } else {
            topic.newest.insert(key, (record.slice(key_len + 1..), end));
        }
        topic.records.push(record);
        self.appended.notify_waiters();
    }

    async fn read(
        &self,
        topic: &str,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Response<Body> {
        let deadline = tokio::time::Instant::now() + wait;
        let era = self.era.load(Ordering::SeqCst);
        loop {
            let appended = self.appended.notified();
            let is_over = || {
                tokio::time::Instant::now() >= deadline || self.era.load(Ordering::SeqCst) != era
            };
            match self.try_read(topic, from, max_bytes) {
                Some(answer) => return answer,
                None if is_over() => return read_answer(Vec::new(), 0, from),
                None => drop(tokio::time::timeout_at(deadline, appended).await),
            }
        }
    }

    /// Returns the records from `from` on, as many as fit into `max_bytes` but at least one.
    fn try_read(&self, topic: &str, from: u64, max_bytes: usize) -> Option<Response<Body>> {
        let topics = self.topics.lock().unwrap();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        if from < topic.first || from > topic.end() {
            let answer = json!({ "first_offset": topic.first });
            return Some(web::json(StatusCode::GONE, &answer));
        }
        let records = topic.records.get((from - topic.first) as usize..)?;
        let mut body = Vec::new();
        for record in records {
            if !body.is_empty() && body.len() + record.len() > max_bytes {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        (!body.is_empty()).then(|| read_answer(body, topic.first, topic.end()))
    }

    fn newest(&self, topic: &str) -> Response<Body> {
        let topics = self.topics.lock().unwrap();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        let entry = |(key, (value, offset)): (&String, &(Bytes, u64))| json!({ "key": key, "data": BASE64_STANDARD.encode(value), "offset": offset });
        let entries: Vec<_> = topic.newest.iter().map(entry).collect();
        let end = topic.end();
        let answer = json!({ "entries": entries, "truncated": false, "end_offset": end });
        web::json(StatusCode::OK, &answer)
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Encodes the record of a key: length of the key, key, value.
fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record.into()
}

/// Builds the answer to a read: end offset, first offset, records.
fn read_answer(records: Vec<u8>, first: u64, end: u64) -> Response<Body> {
    let mut body = end.to_be_bytes().to_vec();
    body.extend_from_slice(&first.to_be_bytes());
    body.extend_from_slice(&records);
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}
