//! An HTTP client that returns answers as received, including incomplete ones.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time without data from a router after which a test stops reading.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer of a router, possibly incomplete.
#[derive(Debug, Default)]
pub struct Answer {
    /// HTTP status, or 0 when no complete head arrived.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body is complete by its length, its chunks or its status.
    pub whole: bool,
}

impl Answer {
    /// Returns the value of the verdict header, or `none`.
    pub fn verdict(&self) -> &str {
        self.headers
            .get("ebonyspur-verdict")
            .map_or("none", String::as_str)
    }

    /// Returns the `reason` in the JSON body of a refusal, or `none`.
    pub fn reason(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["reason"].as_str().unwrap_or("none").to_string()
    }
}

/// Sends a request on a new connection, without waiting for the answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<TcpStream> {
    send_to_host(address, "router", method, path, headers, body)
}

/// Sends a request with the header `host` on a new connection, without waiting for the answer.
pub fn send_to_host(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n");
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).ok()?;
    Some(stream)
}

/// Reads the answer until the connection ends.
pub fn read(stream: TcpStream) -> Answer {
    read_within(stream, READ_TIMEOUT)
}

/// Reads the answer until the connection ends or is silent for `timeout`.
pub fn read_within(mut stream: TcpStream, timeout: Duration) -> Answer {
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    let mut bytes = Vec::new();
    // A reset connection leaves the bytes that arrived before.
    let _ = stream.read_to_end(&mut bytes);
    parse(&String::from_utf8_lossy(&bytes))
}

/// Sends a request and reads its answer.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    exchange_at(address, "router", method, path, headers, body)
}

/// Sends a request with the header `host` and reads its answer.
pub fn exchange_at(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let sent = send_to_host(address, host, method, path, headers, body);
    sent.map_or_else(Answer::default, read)
}

fn parse(text: &str) -> Answer {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    let pairs = lines.filter_map(|line| line.split_once(": "));
    let headers: BTreeMap<_, _> = pairs
        .map(|(key, value)| (key.to_ascii_lowercase(), value.to_string()))
        .collect();
    let status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    let (body, whole) = match headers.get("content-length") {
        Some(len) => (rest.to_string(), len.parse() == Ok(rest.len())),
        None if status == 204 => (rest.to_string(), rest.is_empty()),
        None => decode_chunks(rest),
    };
    Answer {
        status,
        headers,
        body,
        whole,
    }
}

fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((len, tail)) = rest.split_once("\r\n") {
        let len = usize::from_str_radix(len, 16).unwrap_or(usize::MAX);
        if len == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..len) else {
            break;
        };
        body += chunk;
        rest = tail.get(len + 2..).unwrap_or_default();
    }
    (body, false)
}
