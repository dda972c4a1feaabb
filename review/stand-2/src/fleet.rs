//! The deployment of a case: what it records, its servers in the store, and its routers.

use std::{
    fs::File,
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message, Reader};

/// Time between two registrations of a server.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// What the cases share.
pub struct Fleet {
    pub store: SocketAddr,
    /// Addresses of the machines of the routers.
    pub routers: Vec<IpAddr>,
    /// Whether the disruption of the case takes place.
    pub has_trouble: bool,
    started: Instant,
    record: Mutex<File>,
}

impl Fleet {
    pub fn new(store: SocketAddr, routers: Vec<IpAddr>, has_trouble: bool, record: File) -> Self {
        let record = Mutex::new(record);
        Fleet { store, routers, has_trouble, started: Instant::now(), record }
    }

    /// Writes a line with the time since the start to the record.
    pub fn note(&self, what: &str) {
        let at = self.started.elapsed().as_millis();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{at:6} ms  {what}");
    }

    pub fn front(&self, router: usize) -> SocketAddr {
        SocketAddr::new(self.routers[router], 8227)
    }

    /// Writes a record of the store as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) -> Result<(), String> {
        let request = format!(
            "PUT /record/{key} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{value}",
            value.len()
        );
        let answer = http::call(self.store, &request, Duration::from_secs(2))?;
        match answer.status() {
            200 => Ok(()),
            status => Err(format!("the store answered {status}")),
        }
    }

    /// Puts a config in force.
    pub fn put_config(&self, config: &str) -> Result<(), String> {
        self.put("keyed.op/config", config)?;
        self.note("operator: config acknowledged");
        Ok(())
    }

    /// Waits until all routers are ready and know a route: `request` gets another answer than 503.
    pub fn await_routers(&self, request: impl Fn() -> String) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for router in 0..self.routers.len() {
            loop {
                let answer = http::call(self.front(router), &request(), Duration::from_secs(3));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("router {router} serves nothing"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.note("all routers serve");
        Ok(())
    }

    /// Starts a server of `service` that answers each request with `handle`, which returns whether
    /// the connection stays open.
    pub fn start_server<H>(self: &Arc<Self>, name: &str, service: &str, slots: u32, handle: H)
    where
        H: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-1","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"born":{},"sequence":1}}"#,
            born.as_millis()
        );
        let (fleet, key) = (self.clone(), format!("keyed.servers/{name}"));
        thread::spawn(move || loop {
            if let Err(err) = fleet.put(&key, &entry) {
                fleet.note(&format!("{key}: cannot register: {err}"));
            }
            thread::sleep(HEARTBEAT);
        });
        let handle = Arc::new(handle);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = handle.clone();
                thread::spawn(move || serve(stream, &*handle));
            }
        });
    }
}

fn serve(stream: TcpStream, handle: &dyn Fn(&Message, &mut TcpStream) -> bool) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    loop {
        let Ok(mut request) = reader.head() else { return };
        if reader.body(&mut request).is_err() || !handle(&request, &mut reader.stream) {
            return;
        }
    }
}

/// Returns a plain answer to `request` that counts as success.
pub fn plain_answer(request: &Message, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s.{}\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
        request.attempt(),
        request.attempt(),
        body.len()
    )
}

/// Returns the head of a stream that answers `request`.
pub fn stream_head(request: &Message) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.attempt(),
        request.attempt()
    )
}

/// Returns `data` as one chunk.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    /// Sets the flag; returns whether it was set before.
    pub fn set(&self) -> bool {
        self.0.swap(true, Ordering::SeqCst)
    }
}
