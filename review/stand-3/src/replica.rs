//! A server of the platform. It registers in the store, runs requests and, when it begins to run one
//! that crashes servers, ends its process.

use std::{
    fs::{File, OpenOptions},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message};

/// Time between two registrations, which is below the time to live of the stand-in's store.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(400);

/// Settings of a server, as `key=value` arguments.
#[derive(Debug, Clone)]
pub struct Settings {
    pub listen: SocketAddr,
    pub store: SocketAddr,
    pub id: String,
    pub service: String,
    /// File to which it writes what reaches it.
    pub log: String,
    /// Path of the requests that crash it, empty for none.
    pub deadly_path: String,
    /// Part of a prompt that crashes it, empty for none.
    pub deadly_part: String,
    /// Time from the arrival of a request until the server begins to run or answer it.
    pub begin_ms: u64,
    /// Time that a request takes that is no stream.
    pub work_ms: u64,
    /// Events of a stream and the time between them.
    pub events: u64,
    pub interval_ms: u64,
}

impl Settings {
    pub fn parse(args: &[String]) -> Self {
        let value = |key: &str| {
            let mut args = args.iter();
            let found = args.find_map(|arg| arg.strip_prefix(&format!("{key}=")));
            found.unwrap_or_default().to_string()
        };
        let number = |key: &str, default| value(key).parse().unwrap_or(default);
        Settings {
            listen: value("listen").parse().expect("an address"),
            store: value("store").parse().expect("an address"),
            id: value("id"),
            service: value("service"),
            log: value("log"),
            deadly_path: value("deadly_path"),
            deadly_part: value("deadly_part"),
            begin_ms: number("begin_ms", 20),
            work_ms: number("work_ms", 10),
            events: number("events", 5),
            interval_ms: number("interval_ms", 50),
        }
    }

    pub fn to_args(&self) -> Vec<String> {
        let Settings {
            listen,
            store,
            id,
            service,
            log,
            deadly_path,
            deadly_part,
            begin_ms,
            work_ms,
            events,
            interval_ms,
        } = self;
        vec![
            format!("listen={listen}"),
            format!("store={store}"),
            format!("id={id}"),
            format!("service={service}"),
            format!("log={log}"),
            format!("deadly_path={deadly_path}"),
            format!("deadly_part={deadly_part}"),
            format!("begin_ms={begin_ms}"),
            format!("work_ms={work_ms}"),
            format!("events={events}"),
            format!("interval_ms={interval_ms}"),
        ]
    }
}

/// Returns the present Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Time for which a server that leaves goes on to serve.
const DRAIN: Duration = Duration::from_millis(2_500);

struct Replica {
    settings: Settings,
    log: Mutex<File>,
    is_draining: AtomicBool,
}

impl Replica {
    fn log(&self, what: &str, request: &Message) {
        let id = request.header("x-attempt-id");
        let line = format!("{} {what} {id} {}\n", unix_millis(), self.settings.id);
        let mut log = self.log.lock().unwrap();
        log.write_all(line.as_bytes())
            .expect("a log that can be written");
    }

    fn is_deadly(&self, request: &Message) -> bool {
        let Settings {
            deadly_path,
            deadly_part,
            ..
        } = &self.settings;
        let mut parts = request.header("x-prefix-hash").split(',');
        let has_part = parts.any(|part| part.split(':').next() == Some(deadly_part.as_str()));
        !deadly_path.is_empty() && request.target().1 == deadly_path
            || !deadly_part.is_empty() && has_part
    }

    /// Answers one request; returns whether the channel may be used again.
    fn answer(&self, request: &Message, to: &mut TcpStream) -> std::io::Result<bool> {
        let settings = &self.settings;
        let id = request.header("x-attempt-id");
        let head = |status: &str, rest: &str| {
            format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nKeep-Alive: timeout=5\r\n{rest}")
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != settings.id {
            let text = head("421 Misdirected Request", "Content-Length: 0\r\n\r\n");
            to.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let (_, path) = request.target();
        if path == "/stand/drain" {
            self.is_draining.store(true, Ordering::SeqCst);
            thread::spawn(|| {
                thread::sleep(DRAIN);
                std::process::exit(0);
            });
            to.write_all(head("200 OK", "Content-Length: 0\r\n\r\n").as_bytes())?;
            return Ok(true);
        }
        if path == "/healthz" {
            let rest = format!("X-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n", settings.id);
            to.write_all(head("200 OK", &rest).as_bytes())?;
            return Ok(true);
        }
        self.log("reached", request);
        thread::sleep(Duration::from_millis(settings.begin_ms));
        if self.is_deadly(request) {
            self.log("crashed", request);
            std::process::exit(1);
        }
        let signature = format!("X-Response-Signature: signed.{}\r\n", settings.id);
        if !path.contains("stream") {
            thread::sleep(Duration::from_millis(settings.work_ms));
            let body = format!("{} ran {id}", settings.id);
            let rest = format!("{signature}Content-Length: {}\r\n\r\n{body}", body.len());
            self.log("ran", request);
            to.write_all(head("200 OK", &rest).as_bytes())?;
            return Ok(true);
        }
        let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        to.write_all(head("200 OK", &(signature + rest)).as_bytes())?;
        let last: Option<u64> = request.header("last-event-id").parse().ok();
        for number in last.map_or(0, |last| last + 1)..settings.events {
            let event = format!("id: {number}\ndata: word-{number}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(settings.interval_ms));
        }
        to.write_all(b"0\r\n\r\n")?;
        self.log("ran", request);
        Ok(true)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if !matches!(self.answer(&request, &mut writer), Ok(true)) {
                return;
            }
        }
    }

    fn register(&self, born: u64) {
        let settings = &self.settings;
        let path = format!("/record/keyed.servers/{}", settings.id);
        for sequence in 0_u64.. {
            let state = match self.is_draining.load(Ordering::SeqCst) {
                true => "draining",
                false => "ready",
            };
            let entry = format!(
                r#"{{"service":"{}","address":"{}","zone":"zone-1","version":"v1","slots":64,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#,
                settings.service, settings.listen
            );
            let timeout = Duration::from_secs(1);
            drop(http::call(
                settings.store,
                "PUT",
                &path,
                &[],
                &entry,
                timeout,
            ));
            thread::sleep(REGISTRATION_INTERVAL);
        }
    }
}

pub fn run(settings: Settings) {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&settings.log);
    let listener = TcpListener::bind(settings.listen).expect("a free address");
    let replica = Arc::new(Replica {
        log: Mutex::new(log.expect("a log file")),
        is_draining: AtomicBool::new(false),
        settings,
    });
    let registering = replica.clone();
    thread::spawn(move || registering.register(unix_millis()));
    for stream in listener.incoming().flatten() {
        stream.set_nodelay(true).expect("a socket option");
        let replica = replica.clone();
        thread::spawn(move || replica.serve(stream));
    }
}
