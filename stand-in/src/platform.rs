//! A simulated platform: log service, instance list and weight store, with injected faults.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::{watch, Mutex as AsyncMutex};

use crate::web::{self, Refusal, Req};

#[derive(clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Appends that the log accepts per second.
    #[arg(long, default_value_t = 300)]
    appends_per_second: u32,
    /// Newest records that the log keeps of each stream.
    #[arg(long, default_value_t = 1_000_000)]
    keep_records: usize,
    /// Delay before a registration shows in the instance list, in milliseconds.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
    /// Loads that the weight store serves at once; it rejects further ones.
    #[arg(long, default_value_t = 2)]
    weight_loads: u32,
    /// Duration of one load from the weight store, in milliseconds.
    #[arg(long, default_value_t = 300)]
    weight_load_ms: u64,
}

/// Counts of the loads from the weight store.
#[derive(Default)]
struct Weights {
    loading: u32,
    /// Highest `loading` since the start.
    peak: u32,
    refused: u64,
}

/// Injected faults; `POST /faults` replaces all of them.
#[derive(Default, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// The log answers each call with 503.
    log_outage: bool,
    /// Delay of each answer of the log, in milliseconds.
    log_delay_ms: u64,
    /// Number of upcoming appends that take effect but get no answer.
    drop_append_answers: u32,
    /// The weight store has versions whose name contains `broken`, too.
    weights_mended: bool,
}

#[derive(Default)]
struct Stream {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Value>,
}

impl Stream {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct Instances {
    version: u64,
    /// List version of the last change of each instance.
    changed_at: BTreeMap<String, u64>,
    live: BTreeMap<String, Value>,
    /// Time of the last registration of each instance that expires.
    registered_at: HashMap<String, Instant>,
}

struct Platform {
    args: Args,
    faults: Mutex<Faults>,
    streams: Mutex<HashMap<String, Stream>>,
    instances: Mutex<Instances>,
    /// Number of appends; holding the lock lets one append run at a time.
    appends: AsyncMutex<u64>,
    weights: Mutex<Weights>,
    changed: watch::Sender<u64>,
}

pub async fn run(args: Args) {
    let listen = args.listen;
    let platform = Arc::new(Platform {
        args,
        faults: Mutex::default(),
        streams: Mutex::default(),
        instances: Mutex::default(),
        appends: AsyncMutex::new(0),
        weights: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    tokio::spawn(expire(platform.clone()));
    web::serve(listen, platform, handle).await;
}

async fn handle(platform: Arc<Platform>, req: Req) -> Response<Body> {
    let answer = match (req.method.as_str(), req.path().as_slice()) {
        ("POST", ["v1", "log", stream]) => append(&platform, &req, stream).await,
        ("GET", ["v1", "log", stream]) => read(&platform, &req, stream).await,
        ("GET", ["v1", "instances"]) => list(&platform, &req).await,
        ("PUT", ["v1", "instances", name]) => put(&platform, &req, name).await,
        ("DELETE", ["v1", "instances", name]) => {
            platform.set_instance(name, None);
            Ok(json!({}))
        }
        ("GET", ["appends"]) => Ok(json!(*platform.appends.lock().await)),
        ("GET", ["v1", "weights"]) => Ok(weight_store_usage(&platform)),
        ("POST", ["v1", "weights", version]) => load_weights(&platform, version).await,
        ("POST", ["faults"]) => req.json().map(|faults| {
            *platform.faults.lock().unwrap() = faults;
            json!({})
        }),
        _ => Err(refuse(StatusCode::NOT_FOUND, &json!("no such path"))),
    };
    match answer {
        Ok(value) => web::json(StatusCode::OK, &value),
        Err(refusal) => *refusal,
    }
}

type Answer = Result<Value, Refusal>;

fn refuse(status: StatusCode, value: &Value) -> Refusal {
    Box::new(web::json(status, value))
}

#[derive(Deserialize)]
struct Append {
    entries: Vec<Value>,
}

async fn append(platform: &Platform, req: &Req, stream: &str) -> Answer {
    platform.apply_log_faults().await?;
    let append: Append = req.json()?;
    let mut appends = platform.appends.lock().await;
    *appends += 1;
    let pause = Duration::from_secs(1) / platform.args.appends_per_second;
    tokio::time::sleep(pause).await;
    let offsets = platform.push(stream, append.entries);
    drop(appends);
    platform.notify();
    if platform.drops_answer() {
        std::future::pending::<()>().await;
    }
    Ok(json!({ "offsets": offsets }))
}

async fn read(platform: &Platform, req: &Req, stream: &str) -> Answer {
    platform.apply_log_faults().await?;
    let from = req.number("from", 0);
    let wait = Duration::from_millis(req.number("wait_ms", 0));
    let mut changed = platform.changed.subscribe();
    let arrived = changed.wait_for(|_| {
        let streams = platform.streams.lock().unwrap();
        streams
            .get(stream)
            .is_some_and(|stream| stream.head() > from)
    });
    drop(tokio::time::timeout(wait, arrived).await);
    platform.apply_log_faults().await?;
    let streams = platform.streams.lock().unwrap();
    let empty = Stream::default();
    let stream = streams.get(stream).unwrap_or(&empty);
    if from < stream.first {
        let first = json!({ "first": stream.first });
        return Err(refuse(StatusCode::GONE, &first));
    }
    let skip = (from - stream.first) as usize;
    let records = stream.records.iter().enumerate().skip(skip).take(1_000);
    let entry =
        |(at, data): (usize, &Value)| json!({ "offset": stream.first + at as u64, "data": data });
    let records: Vec<_> = records.map(entry).collect();
    Ok(json!({ "first": stream.first, "head": stream.head(), "records": records }))
}

async fn list(platform: &Platform, req: &Req) -> Answer {
    let since = req.number("since", 0);
    let wait = Duration::from_millis(req.number("wait_ms", 0));
    let mut changed = platform.changed.subscribe();
    let newer = changed.wait_for(|_| platform.instances.lock().unwrap().version > since);
    drop(tokio::time::timeout(wait, newer).await);
    let instances = platform.instances.lock().unwrap();
    let full = since == 0 || since > instances.version;
    let recent = instances
        .changed_at
        .iter()
        .filter(|(_, at)| full || **at > since);
    let names: Vec<_> = recent.map(|(name, _)| name).collect();
    let live: Vec<_> = names
        .iter()
        .filter_map(|name| instances.live.get(*name))
        .collect();
    let gone: Vec<_> = names
        .iter()
        .filter(|name| !instances.live.contains_key(**name))
        .collect();
    Ok(json!({
        "version": instances.version, "full": full, "instances": live, "gone": gone,
    }))
}

/// Registers an instance; one with `?expires=1` must be registered again every second.
async fn put(platform: &Arc<Platform>, req: &Req, name: &str) -> Answer {
    let mut instance: Value = req.json()?;
    instance["name"] = json!(name);
    if req.number("expires", 0) == 1 {
        let mut instances = platform.instances.lock().unwrap();
        instances
            .registered_at
            .insert(name.to_string(), Instant::now());
    }
    let lag = Duration::from_millis(platform.args.lag_ms);
    let (platform, name) = (platform.clone(), name.to_string());
    tokio::spawn(async move {
        tokio::time::sleep(lag).await;
        platform.set_instance(&name, Some(instance));
    });
    Ok(json!({}))
}

fn weight_store_usage(platform: &Platform) -> Value {
    let weights = platform.weights.lock().unwrap();
    json!({
        "limit": platform.args.weight_loads, "loading": weights.loading,
        "peak": weights.peak, "refused": weights.refused,
    })
}

/// Serves one load; versions whose name contains `broken` do not exist by default.
async fn load_weights(platform: &Platform, version: &str) -> Answer {
    {
        let mut weights = platform.weights.lock().unwrap();
        if weights.loading >= platform.args.weight_loads {
            weights.refused += 1;
            return Err(refuse(
                StatusCode::TOO_MANY_REQUESTS,
                &json!("too many loads"),
            ));
        }
        weights.loading += 1;
        weights.peak = weights.peak.max(weights.loading);
    }
    tokio::time::sleep(Duration::from_millis(platform.args.weight_load_ms)).await;
    platform.weights.lock().unwrap().loading -= 1;
    let is_mended = platform.faults.lock().unwrap().weights_mended;
    if version.contains("broken") && !is_mended {
        return Err(refuse(StatusCode::NOT_FOUND, &json!("no such version")));
    }
    Ok(json!({}))
}

/// Removes instances from the list that did not renew their registration.
async fn expire(platform: Arc<Platform>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let expired: Vec<String> = {
            let mut instances = platform.instances.lock().unwrap();
            let is_expired = |at: &Instant| at.elapsed() > Duration::from_millis(2_000);
            let expired = instances
                .registered_at
                .iter()
                .filter(|(_, at)| is_expired(at));
            let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
            instances
                .registered_at
                .retain(|name, _| !expired.contains(name));
            expired
        };
        for name in expired {
            platform.set_instance(&name, None);
        }
    }
}

impl Platform {
    /// Applies the injected delay and outage of the log.
    async fn apply_log_faults(&self) -> Result<(), Refusal> {
        let faults = self.faults.lock().unwrap().clone();
        tokio::time::sleep(Duration::from_millis(faults.log_delay_ms)).await;
        if faults.log_outage {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, &json!("outage")));
        }
        Ok(())
    }

    /// Counts down the appends to leave unanswered; returns whether this one is among them.
    fn drops_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let drops = faults.drop_append_answers > 0;
        faults.drop_append_answers = faults.drop_append_answers.saturating_sub(1);
        drops
    }

    fn push(&self, stream: &str, entries: Vec<Value>) -> Vec<u64> {
        let mut streams = self.streams.lock().unwrap();
        let stream = streams.entry(stream.to_string()).or_default();
        let from = stream.head();
        stream.records.extend(entries);
        let offsets = (from..stream.head()).collect();
        let excess = stream.records.len().saturating_sub(self.args.keep_records);
        stream.records.drain(..excess);
        stream.first += excess as u64;
        offsets
    }

    /// Sets an instance, or removes it when `instance` is `None`.
    fn set_instance(&self, name: &str, instance: Option<Value>) {
        {
            let mut instances = self.instances.lock().unwrap();
            if instances.live.get(name) == instance.as_ref() {
                return;
            }
            match instance {
                Some(instance) => drop(instances.live.insert(name.to_string(), instance)),
                None => drop(instances.live.remove(name)),
            }
            instances.version += 1;
            let version = instances.version;
            instances.changed_at.insert(name.to_string(), version);
        }
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
