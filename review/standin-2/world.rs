//! What the stand-ins share: the time, the record and the addresses.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Opens the record and starts the clock.
pub fn begin(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Milliseconds since the start.
pub fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Milliseconds since the Unix epoch.
pub fn wall() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Writes a line into the record.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.lock().expect("unpoisoned");
        let at = now();
        let _ = writeln!(file, "{:>3}.{:03} s  {text}", at / 1000, at % 1000);
    }
}

/// Waits until so many milliseconds after the start.
pub fn until(millis: u64) {
    let left = millis.saturating_sub(now());
    std::thread::sleep(Duration::from_millis(left));
}

/// A number that no other call has got.
pub fn number() -> u64 {
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// An id as requesters give one to each attempt.
pub fn attempt() -> String {
    format!("{:04x}{:012x}", std::process::id() & 0xffff, number())
}

/// The loopback address of a machine of this run.
pub fn machine(index: u8) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 130 + high % 64, low, index)
}

/// An address of a machine of this run, with a port that the system chooses where it is 0.
pub fn at(index: u8, port: u16) -> SocketAddr {
    SocketAddr::from((machine(index), port))
}

/// Returns the text of a field of a flat JSON document.
pub fn field(document: &str, name: &str) -> Option<String> {
    let from = document.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = document[from..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next().map(str::to_owned);
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let whole = part
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let whole = whole << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(whole >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
