//! Just enough HTTP/1.1 for servers and callers that follow the platform's pages.

use std::{
    io::{self, Read, Write},
    mem::size_of,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    time::{Duration, Instant},
};

/// A request or response: its first line, headers in lower case and the body that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived in full.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response, 0 for anything else.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("-")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads from a stream with what was read too far before.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.buf.extend_from_slice(&part[..len]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, len: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut left = len;
        while left > 0 {
            if self.buf.is_empty() {
                self.fill()?;
            }
            let part = left.min(self.buf.len());
            body.extend(self.buf.drain(..part));
            left -= part;
        }
        Ok(())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_string());
                message.headers.push(header);
            }
        }
    }

    /// Reads the body of `message`; what has arrived before a failure stays in it.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let is_chunked = message.header("transfer-encoding") == Some("chunked");
        let len = message.header("content-length").and_then(|len| len.parse().ok());
        let mut body = Vec::new();
        let read = if is_chunked {
            self.chunks(&mut body)
        } else {
            self.take(len.unwrap_or(0), &mut body)
        };
        message.is_complete = read.is_ok();
        message.body = body;
        read
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            self.take(len, body)?;
            self.line()?;
            if len == 0 {
                return Ok(());
            }
        }
    }
}

/// Sends `request` on a connection of its own and reads the response, each read within `timeout`.
///
/// Returns the response, complete or not, or why there is none.
pub fn call(to: SocketAddr, request: &str, timeout: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    let stream = stream.map_err(|err| format!("cannot connect: {err}"))?;
    exchange(&mut Reader::new(stream), request, timeout)
}

/// Sends `request` on an open connection and reads the response.
pub fn exchange(on: &mut Reader, request: &str, timeout: Duration) -> Result<Message, String> {
    let set = on.stream.set_read_timeout(Some(timeout));
    set.map_err(|err| err.to_string())?;
    let written = on.stream.write_all(request.as_bytes());
    written.map_err(|err| format!("cannot send: {err}"))?;
    let mut message = on.head().map_err(|err| format!("no answer: {err}"))?;
    // A failure shows in `is_complete`.
    let _ = on.body(&mut message);
    Ok(message)
}

/// Returns whether the peer has closed or reset the connection; bytes it sends are discarded.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut part = [0; 256];
    let read = stream.read(&mut part);
    let _ = stream.set_nonblocking(false);
    match read {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Waits for `time`, or until the peer has closed the connection; returns whether it has.
pub fn closes_within(stream: &mut TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if is_closed(stream) {
            return true;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
}

mod sys {
    //! The calls that the standard library lacks: it cannot set a buffer before it connects.

    #[repr(C)]
    pub struct SockAddrIn {
        pub family: u16,
        pub port: [u8; 2],
        pub address: [u8; 4],
        pub zero: [u8; 8],
    }

    pub const AF_INET: i32 = 2;
    pub const SOCK_STREAM: i32 = 1;
    pub const SOL_SOCKET: i32 = 1;
    pub const SO_RCVBUF: i32 = 8;

    extern "C" {
        pub fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        pub fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
        pub fn connect(fd: i32, address: *const SockAddrIn, len: u32) -> i32;
    }
}

/// Opens a connection whose receive buffer has `bytes`.
pub fn connect_with_buffer(to: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = sys::SockAddrIn {
        family: sys::AF_INET as u16,
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are to values of the lengths given, and the descriptor is new and owned
    // by the stream.
    unsafe {
        let fd = sys::socket(sys::AF_INET, sys::SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = sys::setsockopt(fd, sys::SOL_SOCKET, sys::SO_RCVBUF, &bytes, 4);
        if set < 0 || sys::connect(fd, &address, size_of::<sys::SockAddrIn>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
