//! A small HTTP/1.1 server and client on blocking sockets, a thread for each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request or an answer, read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The status of an answer; 0 where it has none.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// What becomes of a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    Keep,
    Close,
}

/// Reads a line without its end; `None` at the end of the connection.
fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    if !text.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        line: first,
        ..Message::default()
    };
    loop {
        let Some(text) = line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; empty at the last one.
fn chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
    let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(bytes)
}

/// Reads the body that belongs to a head. `answer` tells whether it is one of an answer, which may end
/// with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &mut Message, answer: bool) -> io::Result<()> {
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|text| text.contains("chunked"));
    if chunked {
        loop {
            let part = chunk(reader)?;
            if part.is_empty() {
                return Ok(());
            }
            head.body.extend(part);
        }
    }
    match head
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        Some(length) => {
            head.body = vec![0; length];
            reader.read_exact(&mut head.body)
        }
        None if answer => reader.read_to_end(&mut head.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A listening socket.
#[derive(Clone)]
pub struct Listener {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl Listener {
    /// Has new connections refused.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

/// Serves connections until the socket is closed.
pub fn serve<F>(address: SocketAddr, handler: F) -> Listener
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<After> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a free address");
    let bound = Listener {
        address: listener.local_addr().expect("it is bound"),
        closed: Arc::default(),
    };
    let closed = bound.closed.clone();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if closed.load(Ordering::SeqCst) {
                return;
            }
            let handler = handler.clone();
            thread::spawn(move || connection(stream, &*handler));
        }
    });
    bound
}

fn connection(stream: TcpStream, handler: &impl Fn(&Message, &mut TcpStream) -> io::Result<After>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    loop {
        let Ok(Some(mut request)) = read_head(&mut reader) else {
            return;
        };
        if read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        if !matches!(handler(&request, &mut writer), Ok(After::Keep)) {
            return;
        }
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if headers
        .iter()
        .all(|(name, _)| !name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: localhost\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut head, true)?;
    Ok(head)
}
