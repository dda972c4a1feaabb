//! A small HTTP/1.1 client and server side, enough for the stand-ins of the cases.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has come to its end.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }
}

/// Reads a head; `None` if the channel ends before it.
fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_string();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_string(), value.trim().to_string());
            message.headers.push(header);
        }
    }
}

/// Reads the chunks of a body, up to its end.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; len + 2];
        from.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// Reads a body; one without a length ends with the channel if `to_end` is set.
fn read_body(from: &mut impl BufRead, message: &mut Message, to_end: bool) {
    let mut body = Vec::new();
    let is_chunked = message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked");
    let read = if is_chunked {
        read_chunks(from, &mut body)
    } else if let Ok(len) = message.header("content-length").parse::<usize>() {
        body.resize(len, 0);
        from.read_exact(&mut body)
    } else if to_end {
        from.read_to_end(&mut body).map(drop)
    } else {
        Ok(())
    };
    message.is_whole = read.is_ok();
    message.body = body;
}

/// Reads a request; `None` if the channel ends before it.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    read_body(from, &mut message, false);
    Ok(Some(message))
}

/// Opens a channel, on which reads take at most `timeout`.
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on an open channel and reads the answer.
pub fn exchange(
    stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Message> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    let mut writer = stream;
    writer.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut answer = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer, true);
    Ok(answer)
}

/// Sends a request on a new channel and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    exchange(&connect(to, timeout)?, method, path, headers, body)
}
