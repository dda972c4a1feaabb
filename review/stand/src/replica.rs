//! Replicas: engines that stream numbered events, and plain services.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    crashing_part::OnRun,
    fleet::Record,
    http::{self, Message},
};

/// Time to the first event of a stream that is resumed; a sound server may be silent for that long.
const RESUME_WORK: Duration = Duration::from_millis(1_500);

/// What an engine does in place of its answer; it has written nothing but the head.
pub type Trouble = fn(&mut TcpStream, resumed: bool) -> io::Result<()>;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    pub born: u128,
    /// Number of events of a whole stream; 0 for a plain service.
    pub events: u64,
    pub is_in_trouble: AtomicBool,
    trouble: Option<Trouble>,
    /// Called before each stream; an error ends it.
    pub on_run: Mutex<Option<OnRun>>,
    running: AtomicUsize,
    /// Attempts that began to run, with their paths.
    pub runs: Mutex<Vec<(String, String)>>,
    record: Record,
}

impl Replica {
    pub fn start(
        record: &Record,
        (id, service): (&str, &str),
        (slots, work_ms, events): (usize, u64, u64),
        trouble: Option<Trouble>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let replica = Arc::new(Replica {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            slots,
            work: Duration::from_millis(work_ms),
            born: now.as_millis(),
            events,
            is_in_trouble: AtomicBool::new(false),
            trouble,
            on_run: Mutex::new(None),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Registers in the store again and again.
    pub fn register(self: &Arc<Self>, store: SocketAddr, pause: Duration) {
        let replica = self.clone();
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let entry = replica.entry(sequence);
                let path = format!("/record/keyed.servers/{}", replica.id);
                let _ = http::call(store, "PUT", &path, &entry);
                thread::sleep(pause);
            }
        });
    }

    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read(&mut reader) {
            if self.answer(&req, reader.get_mut()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, to: &mut TcpStream) -> io::Result<()> {
        let attempt = req.header("x-attempt-id");
        let common = format!(
            "X-Attempt-Id: {attempt}\r\nX-Replica-Id: {}\r\nKeep-Alive: timeout=5\r\n",
            self.id
        );
        let expected = req.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return write!(
                to,
                "HTTP/1.1 421 Misdirected Request\r\n{common}Content-Length: 0\r\n\r\n"
            );
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return write!(
                to,
                "HTTP/1.1 503 Service Unavailable\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.runs
            .lock()
            .unwrap()
            .push((attempt.into(), req.path().into()));
        self.record
            .line(format!("{} runs {attempt} {}", self.id, req.path()));
        let signed = format!("{common}X-Response-Signature: {}.{attempt}\r\n", self.id);
        let done = if self.events == 0 {
            thread::sleep(self.work);
            let body = format!("{} of {}", self.id, self.service);
            // A plain replica in trouble leaves out the signature.
            let is_in_trouble = self.is_in_trouble.load(Ordering::SeqCst);
            let signed = if is_in_trouble { &common } else { &signed };
            write!(
                to,
                "HTTP/1.1 200 OK\r\n{signed}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            self.stream(req, &signed, to)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn stream(&self, req: &Message, signed: &str, to: &mut TcpStream) -> io::Result<()> {
        if let Some(on_run) = &*self.on_run.lock().unwrap() {
            on_run(req, signed, to)?;
        }
        let last: Option<u64> = req.header("last-event-id").parse().ok();
        // An engine that goes on with a stream first has to read in its prompt.
        thread::sleep(if last.is_some() {
            RESUME_WORK
        } else {
            self.work
        });
        write!(
            to,
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        if let Some(trouble) = self
            .trouble
            .filter(|_| self.is_in_trouble.load(Ordering::SeqCst))
        {
            return trouble(to, last.is_some());
        }
        for number in last.unwrap_or(0) + 1..=self.events {
            chunk(to, &event(number))?;
            thread::sleep(Duration::from_millis(40));
        }
        write!(to, "0\r\n\r\n")
    }
}

/// Returns an event of a stream.
pub fn event(number: u64) -> Vec<u8> {
    format!("id: {number}\ndata: word-{number}\n\n").into_bytes()
}

/// Writes a chunk of a body.
pub fn chunk(to: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    to.write_all(&bytes)
}
