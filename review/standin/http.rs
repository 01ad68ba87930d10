//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub type Headers = Vec<(String, String)>;

pub struct Request {
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query, with its escapes undone.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(if bytes[index] == b'+' {
                    b' '
                } else {
                    bytes[index]
                });
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the lines of a head. Returns `None` where the channel ended before it was whole.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, mut part: impl FnMut(&[u8])) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut bytes = vec![0; size + 2];
        reader.read_exact(&mut bytes).ok()?;
        if size == 0 {
            return Some(());
        }
        part(&bytes[..size]);
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1)?.to_owned();
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding") == Some("chunked") {
        read_chunks(reader, |part| body.extend_from_slice(part))?;
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        path,
        headers,
        body,
    })
}

pub fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = head(status, headers).into_bytes();
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a requester saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// 0 where no head came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub whole: bool,
    pub took: Duration,
}

impl Seen {
    /// Returns whether it is a whole success with a runner's signature.
    pub fn served(&self) -> bool {
        self.status == 200 && self.whole && find(&self.headers, "x-response-signature").is_some()
    }
}

/// Sends a request on a new channel and waits for its answer. Once nothing has come for `patience`,
/// the channel is closed.
pub fn call(to: SocketAddr, text: &str, patience: Duration) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    let _ = exchange(to, text, patience, started, &mut seen);
    seen.took = started.elapsed();
    seen
}

fn exchange(
    to: SocketAddr,
    text: &str,
    patience: Duration,
    started: Instant,
    seen: &mut Seen,
) -> Option<()> {
    let limit = patience.min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let left = patience.checked_sub(started.elapsed())?;
    // Holds for each read, so that a stream may last for longer than that.
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    seen.status = first.split(' ').nth(1)?.parse().ok()?;
    seen.headers = headers;
    if find(&seen.headers, "transfer-encoding") == Some("chunked") {
        let body = &mut seen.body;
        read_chunks(&mut reader, |part| body.extend_from_slice(part))?;
    } else {
        let length = find(&seen.headers, "content-length")?.parse().ok()?;
        seen.body = vec![0; length];
        reader.read_exact(&mut seen.body).ok()?;
    }
    seen.whole = true;
    Some(())
}

/// Reads the rest of an answer of which one byte was read. Returns its status.
pub fn rest(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    let (first, headers) = read_head(reader)?;
    let mut body = vec![0; find(&headers, "content-length")?.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    first.split(' ').nth(1)?.parse().ok()
}
