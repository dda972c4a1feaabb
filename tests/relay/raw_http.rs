//! A minimal HTTP server side on a raw TCP stream.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

/// Reads the next request, or `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = header(head, "content-length").parse().unwrap_or(0);
            if body.len() >= len {
                return Some(text);
            }
        }
        let len = stream.read(&mut buf).ok().filter(|len| *len > 0)?;
        text += &String::from_utf8_lossy(&buf[..len]);
    }
}

/// Returns the value of a header, or an empty string if it is absent.
pub fn header(request: &str, key: &str) -> String {
    let mut lines = request.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(key));
    found.map_or(String::new(), |(_, value)| value.to_string())
}

/// Sends a complete answer.
pub fn reply(stream: &mut TcpStream, status: u16, body: &str) {
    let head = format!("HTTP/1.1 {status} OK\r\ncontent-length: {}", body.len());
    let _ = stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes());
}
