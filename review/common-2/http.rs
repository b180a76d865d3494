//! HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// `Message` is a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// `Peer` is the buffered stream of one connection.
pub type Peer = BufReader<TcpStream>;

fn bad(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn read_line(peer: &mut Peer) -> io::Result<String> {
    let mut line = String::new();
    if peer.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(peer: &mut Peer) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(peer)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body of a message; `until_end` tells that one without a length ends with the connection.
fn read_body(peer: &mut Peer, message: &mut Message, until_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let line = read_line(peer)?;
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk"))?;
            if size == 0 {
                while !read_line(peer)?.is_empty() {}
                return Ok(());
            }
            let start = message.body.len();
            message.body.resize(start + size, 0);
            peer.read_exact(&mut message.body[start..])?;
            read_line(peer)?;
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| bad("length"))?;
        message.body.resize(length, 0);
        return peer.read_exact(&mut message.body);
    }
    if until_end {
        peer.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn read_request(peer: &mut Peer) -> io::Result<Message> {
    let line = read_line(peer)?;
    let mut parts = line.split(' ');
    let mut message = Message {
        method: parts.next().unwrap_or_default().to_owned(),
        path: parts.next().ok_or_else(|| bad("request line"))?.to_owned(),
        headers: read_headers(peer)?,
        ..Message::default()
    };
    read_body(peer, &mut message, false)?;
    Ok(message)
}

pub fn read_response(peer: &mut Peer) -> io::Result<Message> {
    loop {
        let line = read_line(peer)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let mut message = Message {
            status: status.ok_or_else(|| bad("status line"))?,
            headers: read_headers(peer)?,
            ..Message::default()
        };
        if message.status < 200 {
            continue;
        }
        let bodiless = matches!(message.status, 204 | 304);
        if !bodiless {
            read_body(peer, &mut message, true)?;
        }
        return Ok(message);
    }
}

pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

pub fn write_request(
    stream: &mut impl Write,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Opens a connection whose reads take `limit` at most.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Peer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(BufReader::new(stream))
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let ends_at = Instant::now() + limit;
    let mut peer = connect(address, limit)?;
    write_request(peer.get_mut(), method, path, headers, body)?;
    let left = ends_at.saturating_duration_since(Instant::now());
    peer.get_ref().set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read_response(&mut peer)
}
