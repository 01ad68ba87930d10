//! The platform's store, as PROTOCOL.md describes it: items, listings in pages and watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, After, Message};
use crate::world::{base64, note};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// Items of one page.
const PAGE: usize = 500;

struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, its key and the item as it was written, `None` for a removal.
    log: Vec<(u64, String, Option<String>)>,
    /// Grows when the watches that wait are cut.
    cut: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> (Arc<Self>, SocketAddr) {
        let state = Mutex::new(State {
            rev: 100,
            ..State::default()
        });
        let store = Arc::new(Self {
            state,
            changed: Condvar::new(),
        });
        let served = store.clone();
        let bound = http::serve(address, move |request, stream| {
            let answer = served.answer(request);
            thread::sleep(ANSWER);
            match answer {
                Some((status, body)) => {
                    let kind = [("Content-Type", "application/json")];
                    http::answer(stream, status, &kind, body.as_bytes())?;
                    Ok(After::Keep)
                }
                // A watch that is cut.
                None => Err(io::ErrorKind::ConnectionAborted.into()),
            }
        });
        (store, bound.address)
    }

    /// Writes an item. What is returned is the confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().expect("unpoisoned");
        state.rev += 1;
        let rev = state.rev;
        let value = base64(value.as_bytes());
        let created = state.items.get(key).map_or(rev, |item| item.created);
        let text = written(key, &value, rev, created);
        state.items.insert(
            key.to_owned(),
            Item {
                value,
                rev,
                created,
            },
        );
        state.log.push((rev, key.to_owned(), Some(text)));
        drop(state);
        self.changed.notify_all();
        note(&format!("store: {key} is written, revision {rev}"));
        rev
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.state.lock().expect("unpoisoned");
        state.rev += 1;
        let rev = state.rev;
        state.items.remove(key);
        state.log.push((rev, key.to_owned(), None));
        drop(state);
        self.changed.notify_all();
        note(&format!("store: {key} is removed, revision {rev}"));
        rev
    }

    /// Cuts the watches that wait; the store serves all other calls, and new watches.
    pub fn cut_watches(&self) {
        self.state.lock().expect("unpoisoned").cut += 1;
        self.changed.notify_all();
        note("store: the watches that wait are cut");
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let prefix = decoded(request.query("prefix").unwrap_or_default());
        match request.path() {
            "/kv-range" => Some((200, self.range(&prefix, request.query("after")))),
            "/kv-key" => Some(self.key(&decoded(request.query("key").unwrap_or_default()))),
            "/kv-watch" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait = number("wait_ms").unwrap_or(0).min(30_000);
                self.watch(&prefix, after, Duration::from_millis(wait))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().expect("unpoisoned");
        match state.items.get(key) {
            Some(item) => (200, written(key, &item.value, item.rev, item.created)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> String {
        let after = after.map(decoded).unwrap_or_default();
        let state = self.state.lock().expect("unpoisoned");
        let fits = |key: &str| key.starts_with(prefix) && *key > *after;
        let fitting: Vec<_> = state.items.iter().filter(|(key, _)| fits(key)).collect();
        let page = fitting.iter().take(PAGE);
        let page = page.map(|(key, item)| written(key, &item.value, item.rev, item.created));
        let page: Vec<String> = page.collect();
        let truncated = fitting.len() > PAGE;
        let rev = state.rev;
        format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"current_rev\":{rev}}}",
            page.join(",")
        )
    }

    /// Waits for events; `None` where the watch is cut.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("unpoisoned");
        let cut = state.cut;
        loop {
            let news = state
                .log
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let news: Vec<String> = news
                .map(|(rev, key, text)| match text {
                    Some(text) => text.clone(),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let rev = state.rev;
                return Some((
                    200,
                    format!("{{\"events\":[{}],\"current_rev\":{rev}}}", news.join(",")),
                ));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("unpoisoned")
                .0;
            if state.cut != cut {
                return None;
            }
        }
    }
}

fn written(key: &str, value: &str, rev: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"create_rev\":{created},\"lease\":0}}"
    )
}

/// Undoes the escapes of a query.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes
            .get(index + 1..index + 3)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        let byte = hex.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match (bytes[index], byte) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
