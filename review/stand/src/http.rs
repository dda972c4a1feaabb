//! The small part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// First line, headers (names in lower case) and body of a message.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map_or("", |(_, value)| value)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` when the channel ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Ok(Some(Message {
        first: first.trim_end().to_string(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a message whose body has a length; `None` when the channel ends before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let len = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let len = usize::from_str_radix(line.trim(), 16);
    let len = len.map_err(|_| io::Error::other("no chunk"))?;
    let mut chunk = vec![0; len + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(len);
    Ok(chunk)
}

/// Makes a call on a channel of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut reader = BufReader::new(stream);
    write!(
        reader.get_mut(),
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let answer = read(&mut reader)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
