//! One part of prompts crashes each engine that begins to write an answer on it: the engine sends the
//! head and half of its first event, and its process ends. The routers go on sending such requests.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    consumer::Channel,
    fleet::{Fleet, Record},
    http,
    replica::{chunk, event, Replica},
    route,
};

/// The part that crashes engines.
const PART: &str = "bad0bad0";
const ENGINES: usize = 6;
const SECONDS: f64 = 45.0;
const CONTACT_S: f64 = 3.0;
/// Time after which a crashed engine is back.
const BACK: Duration = Duration::from_secs(3);

/// Runs an engine as a process of its own: `engine STORE ID WRITES CRASHES`.
pub fn engine(args: &[String]) -> Result<bool, String> {
    let [store, id, writes, crashes] = args else {
        return Err("engine STORE ID WRITES CRASHES".into());
    };
    let store = store.parse().map_err(|_| "no address")?;
    let (writes, crashes) = (writes == "1", crashes == "1");
    let record = Record::create("/dev/null");
    let engine = Replica::start(&record, (id, "planner"), (64, 100, 20), None);
    *engine.on_run.lock().unwrap() = Some(Box::new(move |req, signed, to| {
        let is_bad = req.header("x-prefix-hash").contains(PART);
        let kind = if is_bad { "bad" } else { "sound" };
        println!("{kind} {}", req.header("x-attempt-id"));
        if !is_bad || !crashes {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
        if writes {
            begin(signed, to)?;
        }
        std::process::exit(1);
    }));
    engine.register(store, Duration::from_millis(1_000));
    // Ends with the process that started it.
    let mut line = String::new();
    let _ = io::stdin().read_line(&mut line);
    Ok(false)
}

/// Writes the head and the first half of the first event.
fn begin(signed: &str, to: &mut TcpStream) -> io::Result<()> {
    write!(
        to,
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    let event = event(1);
    chunk(to, &event[..event.len() / 2])?;
    to.flush()?;
    thread::sleep(Duration::from_millis(5));
    Ok(())
}

#[derive(Default)]
struct Seen {
    crashes: Vec<f64>,
    /// Times at which requests with the part reached an engine.
    bad: Vec<f64>,
    sound: usize,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    // The control: the engines crash before they have written anything.
    let writes = std::env::var("WRITES").as_deref() != Ok("0");
    let kind = r#""route_kind":"streaming","sticky":true,"resumable":true,"gap_aim_ms":400"#;
    let routes = route("draft", "planner", 12_000, 800, kind);
    let fleet = Arc::new(Fleet::start(record, 2, &config(&routes), "")?);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for n in 1..=ENGINES {
        let (fleet, seen, stop, record) =
            (fleet.clone(), seen.clone(), stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            for life in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("e-{n}-{life}");
                match start(&fleet, &id, writes, has_trouble) {
                    Ok(child) => follow(child, &id, &seen, &stop, &record),
                    Err(err) => record.line(format!("engine {id}: {err}")),
                }
                // Its entry lapses in the store.
                thread::sleep(BACK);
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let answers: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let open = Arc::new(AtomicUsize::new(0));
    for number in 0.. {
        if record.seconds() > SECONDS {
            break;
        }
        let n = number % fleet.count();
        // A request in five holds the part, at any machine; all share their key and their first part.
        let is_bad = number % 10 == 4 || number % 10 == 9;
        let middle = if is_bad {
            PART.to_string()
        } else {
            format!("5e55{:x}", number % 7)
        };
        let prompt = format!("5c1e07a2:800,{middle}:410,{number:x}:250");
        let attempt = format!("{}-{n}-{number}", if is_bad { "bad" } else { "sound" });
        let (fleet, answers, open) = (fleet.clone(), answers.clone(), open.clone());
        if open.fetch_add(1, Ordering::SeqCst) > 150 {
            open.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        thread::spawn(move || {
            let end = Instant::now() + Duration::from_secs(12);
            let stream = Channel::open(fleet.front(n)).and_then(|mut channel| {
                channel.send_prompt(&attempt, "/draft/1", 12_000, &prompt)?;
                channel.stream(Duration::from_millis(3_200), end)
            });
            let kind = if is_bad { "bad" } else { "sound" };
            let outcome = match stream {
                Ok(stream) => format!("{kind}: {} ended by {}", stream.status, stream.end),
                Err(_) => format!("{kind}: channel closed"),
            };
            *answers.lock().unwrap().entry(outcome).or_default() += 1;
            open.fetch_sub(1, Ordering::SeqCst);
        });
        thread::sleep(Duration::from_millis(150));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for (outcome, count) in answers.lock().unwrap().iter() {
        record.line(format!("answers: {count} {outcome}"));
    }
    let seen = seen.lock().unwrap();
    let mut crashes = seen.crashes.clone();
    crashes.sort_by(f64::total_cmp);
    let Some(fifth) = crashes.get(4) else {
        record.line(format!(
            "{} crashes, {} sound runs",
            crashes.len(),
            seen.sound
        ));
        return Ok(false);
    };
    let late = seen
        .bad
        .iter()
        .filter(|at| **at > fifth + CONTACT_S)
        .count();
    record.line(format!(
        "{} crashes, the fifth at {fifth:.1} s; {late} requests with the part reached engines later than {CONTACT_S} s after it",
        crashes.len()
    ));
    Ok(late > 3)
}

fn start(fleet: &Fleet, id: &str, writes: bool, crashes: bool) -> io::Result<Child> {
    let flag = |on: bool| if on { "1" } else { "0" };
    Command::new(std::env::current_exe()?)
        .args([
            "engine",
            "/dev/null",
            &fleet.store.to_string(),
            id,
            flag(writes),
            flag(crashes),
        ])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
}

/// Records what an engine does until it ends, or ends it when the case stops.
fn follow(mut child: Child, id: &str, seen: &Mutex<Seen>, stop: &AtomicBool, record: &Record) {
    let stdout = child.stdout.take().expect("piped");
    thread::scope(|scope| {
        scope.spawn(|| {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let at = record.seconds();
                record.line(format!("{id} runs {line}"));
                let mut seen = seen.lock().unwrap();
                if line.starts_with("bad") {
                    seen.bad.push(at);
                } else {
                    seen.sound += 1;
                }
            }
        });
        loop {
            if stop.load(Ordering::SeqCst) {
                let _ = child.kill();
                let _ = child.wait();
                return;
            }
            if let Ok(Some(_)) = child.try_wait() {
                record.line(format!("{id} has crashed"));
                seen.lock().unwrap().crashes.push(record.seconds());
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
}

/// The request of an engine, its signed headers, and the channel.
pub type OnRun = Box<dyn Fn(&http::Message, &str, &mut TcpStream) -> io::Result<()> + Send>;
