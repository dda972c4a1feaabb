//! Consumers.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http;

pub const HOST: &str = "chats.example";
pub const KEY: &str = "key-of-kerb";

/// A channel of a consumer, which may be used for many requests.
pub struct Channel {
    reader: BufReader<TcpStream>,
    pub answered: usize,
}

impl Channel {
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel {
            reader: BufReader::new(stream),
            answered: 0,
        })
    }

    pub fn send(&mut self, attempt: &str, path: &str, time_limit_ms: u64) -> io::Result<()> {
        let req = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {time_limit_ms}\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\nhi"
        );
        self.reader.get_mut().write_all(req.as_bytes())
    }

    /// Sends a request whose prompt has the given parts; its body is like no other.
    pub fn send_prompt(
        &mut self,
        attempt: &str,
        path: &str,
        time_limit_ms: u64,
        prompt: &str,
    ) -> io::Result<()> {
        let req = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
             X-Token-Usage: 1460,80\r\nX-Prefix-Hash: {prompt}\r\nX-Deadline-Ms: {time_limit_ms}\r\n\
             Authorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{attempt}",
            attempt.len()
        );
        self.reader.get_mut().write_all(req.as_bytes())
    }

    /// Reads an answer with a length.
    pub fn answer(&mut self, within: Duration) -> io::Result<http::Message> {
        self.reader.get_ref().set_read_timeout(Some(within))?;
        let answer = http::read(&mut self.reader)?;
        let answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.answered += 1;
        Ok(answer)
    }

    /// Reads a streamed answer until it ends, until `gap` has passed without an event, or until `end`.
    pub fn stream(&mut self, gap: Duration, end: Instant) -> io::Result<Stream> {
        self.reader
            .get_ref()
            .set_read_timeout(Some(gap.min(end.saturating_duration_since(Instant::now()))))?;
        let head = http::read_head(&mut self.reader)?;
        let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut stream = Stream {
            status: head.status(),
            events: 0,
            bytes: 0,
            end: "no events in it",
        };
        if head.header("transfer-encoding") != "chunked" {
            return Ok(stream);
        }
        let mut last_event = Instant::now();
        loop {
            let now = Instant::now();
            if now >= end {
                stream.end = "its time limit";
                return Ok(stream);
            }
            let left = (last_event + gap).min(end).saturating_duration_since(now);
            if left.is_zero() {
                stream.end = "the consumer, after a gap without an event";
                return Ok(stream);
            }
            self.reader.get_ref().set_read_timeout(Some(left))?;
            match http::read_chunk(&mut self.reader) {
                Ok(chunk) if chunk.is_empty() => {
                    stream.end = "its last piece";
                    return Ok(stream);
                }
                Ok(chunk) => {
                    stream.bytes += chunk.len();
                    let events = chunk.windows(4).filter(|at| at == b"id: ").count();
                    if events > 0 {
                        stream.events += events;
                        last_event = Instant::now();
                    }
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    stream.end = "a break of its channel";
                    return Ok(stream);
                }
            }
        }
    }
}

/// What a consumer got of a stream, and what ended it.
pub struct Stream {
    pub status: u16,
    pub events: usize,
    pub bytes: usize,
    pub end: &'static str,
}
