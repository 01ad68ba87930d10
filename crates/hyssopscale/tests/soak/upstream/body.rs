//! What upstreams write: whole streams, broken ones, and bytes without end.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Events of a whole stream.
pub const EVENTS: u64 = 8;

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(25);

/// One chunk of a body without end.
pub(super) const CHUNK: &str = concat!(
    "40\r\n",
    "0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef",
    "\r\n"
);

/// Answers without end: how they begin, and what comes again and again.
pub(super) const FLOODS: [(&str, &str); 4] = [
    ("HTTP/1.1 103 X\r\n\r\n", "HTTP/1.1 103 X\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n", "x-field: a\r\n"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "x"),
];

/// Returns one event as an upstream sends it.
fn event(attempt: &str, id: u64, release: &str) -> String {
    format!("id: {id}\ndata: {attempt} {id} {release}\n\n")
}

/// Reads the releases of the events that follow the one numbered `after` in an answer to an attempt;
/// `None` where something else is among them.
pub fn read_events(text: &str, attempt: &str, after: u64) -> Option<Vec<String>> {
    let events = text.split_terminator("\n\n").zip(after + 1..);
    let release = |(text, id): (&str, u64)| {
        let release = text.rsplit(' ').next()?;
        (format!("{text}\n\n") == event(attempt, id, release)).then(|| release.to_owned())
    };
    events.map(release).collect()
}

pub(super) async fn events(
    stream: &mut TcpStream,
    names: &[String],
    (attempt, release): (&str, &str),
    after: u64,
    cut: bool,
) -> bool {
    let lines: String = names.iter().map(|line| format!("{line}\r\n")).collect();
    let head = format!("HTTP/1.1 200 OK\r\n{lines}transfer-encoding: chunked\r\n\r\n");
    if !write(stream, &head).await {
        return false;
    }
    for id in after + 1..=EVENTS {
        let text = event(attempt, id, release);
        if cut && id > after + EVENTS / 2 {
            let _ = write(stream, &format!("{:x}\r\n{}", text.len(), &text[..5])).await;
            return false;
        }
        sleep(EVENT_PAUSE).await;
        if !write(stream, &format!("{:x}\r\n{text}\r\n", text.len())).await {
            return false;
        }
    }
    write(stream, "0\r\n\r\n").await
}

/// Writes without end, until the other side closes.
pub(super) async fn flood(stream: &mut TcpStream, (first, part): (&str, &str)) -> bool {
    let part = part.repeat(64);
    if write(stream, first).await {
        while write(stream, &part).await {}
    }
    false
}

pub(super) async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}
