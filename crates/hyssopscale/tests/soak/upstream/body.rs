//! What upstreams write: whole streams, broken ones, and bytes without end.

use std::time::Duration;

use socket2::SockRef;
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

/// Returns the head of a whole answer with further lines.
pub(super) fn head(names: &[String], lines: &str) -> String {
    let names: String = names.iter().map(|line| format!("{line}\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\n{names}{lines}\r\n")
}

/// Writes the parts of an answer that ends with its connection. Where they are not `whole`, or the upstream
/// ends meanwhile, the connection is reset.
pub(super) async fn open_ended(
    stream: &mut TcpStream,
    names: &[String],
    parts: impl IntoIterator<Item = String>,
    whole: bool,
) -> bool {
    let unset = stream.set_zero_linger().is_err();
    if unset || !write(stream, &head(names, "")).await {
        return false;
    }
    for part in parts {
        sleep(EVENT_PAUSE).await;
        if !write(stream, &part).await {
            return false;
        }
    }
    sleep(EVENT_PAUSE).await;
    if whole {
        // A socket that takes no options is closed already.
        let _ = SockRef::from(&*stream).set_linger(None);
    }
    false
}

/// Writes events as [`open_ended`]; those that are `cut` end after a whole event.
pub(super) async fn open_ended_events(
    stream: &mut TcpStream,
    names: &[String],
    (attempt, release): (&str, &str),
    after: u64,
    cut: bool,
) -> bool {
    let last = if cut {
        after + (EVENTS - after) / 2
    } else {
        EVENTS
    };
    let parts = (after + 1..=last).map(|id| event(attempt, id, release));
    open_ended(stream, names, parts, !cut).await
}

/// Returns a whole answer of events in chunks, as a second copy of it comes.
pub(super) fn copy_of_events(
    names: &[String],
    (attempt, release): (&str, &str),
    after: u64,
) -> String {
    let events = (after + 1..=EVENTS).map(|id| event(attempt, id, release));
    let chunks: String = events
        .map(|text| format!("{:x}\r\n{text}\r\n", text.len()))
        .collect();
    head(names, "transfer-encoding: chunked\r\n") + &chunks + "0\r\n\r\n"
}

pub(super) async fn events(
    stream: &mut TcpStream,
    names: &[String],
    (attempt, release): (&str, &str),
    after: u64,
    cut: bool,
) -> bool {
    let head = head(names, "transfer-encoding: chunked\r\n");
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
