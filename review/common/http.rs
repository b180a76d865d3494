//! HTTP/1.1 over plain sockets, for stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message with its body, as it came.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        &self.first[0]
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        &self.first[1]
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether the connection stays open.
    pub fn keeps_open(&self) -> bool {
        !self
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Opens a connection from a local address, whose port is chosen by the system.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes; returns `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads bytes up to and including a line break.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a head; returns `None` if the connection ends before one.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first: first.splitn(3, ' ').map(str::to_owned).collect(),
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .fields
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message; `until_close` tells whether one without a length ends with the
    /// connection.
    pub fn read_body(&mut self, message: &mut Message, until_close: bool) -> io::Result<()> {
        let chunked = message
            .field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while self.line()?.is_some_and(|line| !line.is_empty()) {}
                    return Ok(());
                }
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                self.take(2)?;
            }
        }
        match message.field("content-length").and_then(|v| v.parse().ok()) {
            Some(length) => message.body = self.take(length)?,
            None if until_close => {
                while self.fill()? {}
                message.body = std::mem::take(&mut self.ahead);
            }
            None => {}
        }
        Ok(())
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.first.len() < 3 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.read_body(&mut message, false)?;
        Ok(Some(message))
    }

    /// Reads a response with its body.
    pub fn read_response(&mut self) -> io::Result<Message> {
        let Some(mut message) = self.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        self.read_body(&mut message, true)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a response with its length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} x\r\n").into_bytes();
    for (name, value) in fields {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

/// Encodes a request with its length.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in fields {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    if !body.is_empty() || method != "GET" {
        out.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    out.extend(b"\r\n");
    out.extend(body);
    out
}

/// Sends one request over a connection of its own and reads the response within a time limit.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address)?;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.write(bytes)?;
    connection.read_response()
}

/// Waits until a condition holds; returns `false` if it does not within the limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    condition()
}
